package io.heatherloft.router.request;

import io.netty.handler.codec.http.HttpHeaders;

/** Reads and writes the headers in which callers and backend servers state facts about requests. */
public interface HeaderDialect {
    /** Reads a caller's header; what cannot be read is as if it were absent. */
    RequestFacts readRequest(HttpHeaders callerHeaders);

    /** Returns the header of a request to a backend server, without its framing. */
    HttpHeaders dispatchHeaders(HttpHeaders callerHeaders, DispatchFacts facts);

    /** Reads the header of a backend server's answer. */
    AnswerFacts readAnswer(int status, HttpHeaders backendHeaders);

    /** Returns the header of a backend server's answer as the caller gets it, without its framing. */
    HttpHeaders answerHeaders(HttpHeaders backendHeaders);

    /** Returns the header of an answer of the router's own. */
    HttpHeaders ownHeaders(RequestFacts request);
}
