package ivybank.scale.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;

/** What a worker process does. Commands come one at a time, on a thread that is not the event loop's and may wait for it. */
interface WorkerRole {

    /**
     * Carries out one command.
     *
     * @param command with its name in the field {@code command}
     * @return the answer's fields
     * @throws IllegalArgumentException if there is no such command
     */
    ObjectNode execute(JsonNode command) throws Exception;

    /** The loop on which the role lives. */
    EventLoop loop();
}
