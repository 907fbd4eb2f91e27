package ivybank.common;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.MalformedURLException;
import java.net.URI;

/** Asks a sidecar's door what it sees of the others; for those that are no sidecar themselves. */
public final class FleetViewClient {

    private FleetViewClient() {}

    /**
     * The view as JSON; null where nobody answers, or has no view to show.
     *
     * @param door as http://HOST:PORT
     * @throws IllegalArgumentException if that is no address of HTTP
     */
    public static JsonNode fetch(String door, int timeoutMs) {
        try {
            if (!(URI.create(door + "/fleet").toURL().openConnection() instanceof HttpURLConnection call)) {
                throw new IllegalArgumentException(door);
            }
            call.setConnectTimeout(timeoutMs);
            call.setReadTimeout(timeoutMs);
            try (InputStream in = call.getInputStream()) {
                return Json.MAPPER.readTree(in.readAllBytes());
            }
        } catch (MalformedURLException e) {
            throw new IllegalArgumentException(door, e);
        } catch (IOException e) {
            return null; // it is not there, or stands still
        }
    }

    /** Whether one of a view's members lives by it. */
    public static boolean isAlive(JsonNode member) {
        String standing = member.path("standing").asText("gone");
        return !standing.equals("gone") && !standing.equals("left");
    }
}
