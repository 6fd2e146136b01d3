package io.heatherloft.router.request;

import io.netty.handler.codec.http.HttpHeaders;

/** Reads and writes the headers in which callers and backend servers state facts about requests. */
public interface HeaderCodec {
    /** Reads a caller's header; what cannot be read is as if it were absent. */
    RequestMetadata readRequest(HttpHeaders callerHeaders);

    /** Returns the header of a request to a backend server, without its framing. */
    HttpHeaders backendRequestHeaders(HttpHeaders callerHeaders, DispatchMetadata facts);

    /** Reads the header of a backend server's answer. */
    ResponseMetadata readResponse(int status, HttpHeaders backendHeaders);

    /** Returns the header of a backend server's answer as the caller gets it, without its framing. */
    HttpHeaders callerResponseHeaders(HttpHeaders backendHeaders);

    /** Returns the header of an answer of the router's own. */
    HttpHeaders localReplyHeaders(RequestMetadata request);
}
