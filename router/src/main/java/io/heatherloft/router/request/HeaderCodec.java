package io.heatherloft.router.request;

import io.netty.handler.codec.http.HttpHeaders;

/** Reads and writes the headers that carry metadata between callers, the router and backend servers. */
public interface HeaderCodec {
    /** Reads the metadata of a caller's request; malformed headers are treated as absent. */
    RequestMetadata readRequest(HttpHeaders callerHeaders);

    /** Returns the headers of a request to a backend server, without framing headers. */
    HttpHeaders backendRequestHeaders(HttpHeaders callerHeaders, DispatchMetadata metadata);

    /** Reads the metadata of a backend server's response. */
    ResponseMetadata readResponse(int status, HttpHeaders backendHeaders);

    /** Returns the headers with which a backend server's response is passed to the caller, without framing headers. */
    HttpHeaders callerResponseHeaders(HttpHeaders backendHeaders);

    /** Returns the headers of a response that the router generates itself. */
    HttpHeaders localReplyHeaders(RequestMetadata request);
}
