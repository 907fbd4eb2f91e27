package forkramp.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/** A client's request as it goes on to upstreams; {@code headers} hold none that belong to the client's connection. */
record ClientRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body, int requestClass, int tenant,
                     boolean repeat, double arrivedMs, double budgetMs) {
}
