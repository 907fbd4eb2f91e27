package ivybank.promises;

import ivybank.exchange.Answer;
import ivybank.exchange.ClientRequest;
import ivybank.exchange.RequestHandler;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import java.util.List;
import java.util.function.Consumer;

/**
 * Handles requests also while the store of promises is not open yet: those that are safe to repeat are dispatched, and the
 * others are refused before anything is sent. Passes everything to the handler of promises once there is one. Used on one
 * event loop.
 */
public final class DeferredPromises implements RequestHandler {

    private final RequestHandler dispatcher;
    private final List<RequestClass> classes;
    private final double retryAfterMs;
    private RequestHandler promises; // null: the store is not open yet

    /**
     * Creates a handler without promises.
     *
     * @param dispatcher handles the requests that need no promise
     */
    public DeferredPromises(RequestHandler dispatcher, Settings settings) {
        this.dispatcher = dispatcher;
        this.classes = settings.classes();
        this.retryAfterMs = settings.limits().maxRetryAfterMs();
    }

    /** Passes all requests to this handler from now on. */
    public void opened(PromiseRequestHandler handler) {
        promises = handler;
    }

    private RequestHandler current() {
        return promises == null ? dispatcher : promises;
    }

    @Override
    public boolean ready() {
        return dispatcher.ready();
    }

    @Override
    public int unanswered() {
        return current().unanswered();
    }

    @Override
    public boolean isInFlight(String callId) {
        return current().isInFlight(callId);
    }

    @Override
    public boolean mayHaveRun(ClientRequest request) {
        return current().mayHaveRun(request);
    }

    @Override
    public void turnedAway(String callId) {
        current().turnedAway(callId);
    }

    @Override
    public void answerRead(int number, String callId) {
        current().answerRead(number, callId);
    }

    @Override
    public int handle(ClientRequest request, Consumer<Answer> client) {
        if (promises == null && classes.get(request.requestClass()).effect() != Effect.SAFE) {
            client.accept(Answer.refused(retryAfterMs));
            return 0;
        }
        return current().handle(request, client);
    }

    @Override
    public void bodyCompleted(int number, double earliestMs) {
        current().bodyCompleted(number, earliestMs);
    }

    @Override
    public void clientDisconnected(int number) {
        current().clientDisconnected(number);
    }
}
