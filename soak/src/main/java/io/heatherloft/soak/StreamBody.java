package io.heatherloft.soak;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The text of the stand-in's streams. Stateless and safe for use by several threads. */
final class StreamBody {
    private StreamBody() {}

    /** Returns a stream with all of its events, numbered from 1. */
    static String withEvents(int events) {
        return IntStream.rangeClosed(1, events)
                .mapToObj(event -> "id: " + event + "\ndata: token " + event + "\n\n")
                .collect(Collectors.joining());
    }
}
