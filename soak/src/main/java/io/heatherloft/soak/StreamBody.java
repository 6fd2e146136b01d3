package io.heatherloft.soak;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Builds the response body that a stand-in backend server sends for a stream. Stateless and thread-safe. */
final class StreamBody {
    private StreamBody() {}

    /** Returns a complete stream of the given number of events, numbered from 1. */
    static String withEvents(int events) {
        return IntStream.rangeClosed(1, events)
                .mapToObj(event -> "id: " + event + "\ndata: token " + event + "\n\n")
                .collect(Collectors.joining());
    }
}
