package ivybank.common;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.MalformedURLException;
import java.net.URI;

/** Fetches a sidecar's view of its fleet from its admin endpoint, for programs that are not sidecars themselves. */
public final class FleetViewClient {

    private FleetViewClient() {}

    /**
     * Returns the view as JSON; null if the sidecar does not answer or has no view.
     *
     * @param adminEndpoint the address of the admin endpoint, as http://HOST:PORT
     * @throws IllegalArgumentException if that is not an HTTP address
     */
    public static JsonNode fetch(String adminEndpoint, int timeoutMs) {
        try {
            if (!(URI.create(adminEndpoint + "/fleet").toURL().openConnection() instanceof HttpURLConnection call)) {
                throw new IllegalArgumentException(adminEndpoint);
            }
            call.setConnectTimeout(timeoutMs);
            call.setReadTimeout(timeoutMs);
            try (InputStream in = call.getInputStream()) {
                return Json.MAPPER.readTree(in.readAllBytes());
            }
        } catch (MalformedURLException e) {
            throw new IllegalArgumentException(adminEndpoint, e);
        } catch (IOException e) {
            return null; // it is not running, or is suspended
        }
    }

    /** Returns whether a member of a view is alive according to that view. */
    public static boolean isAlive(JsonNode member) {
        String state = member.path("standing").asText("gone");
        return !state.equals("gone") && !state.equals("left");
    }
}
