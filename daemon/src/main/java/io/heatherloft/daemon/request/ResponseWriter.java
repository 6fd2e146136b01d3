package io.heatherloft.daemon.request;

import io.heatherloft.domain.Bytes;
import io.heatherloft.ports.loop.Futures;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes whole answers and problems to callers. Stateless; confined to the loop's thread.
 */
final class ResponseWriter {
    private static final long MILLIS_PER_SECOND = 1_000L;

    private ResponseWriter() {}

    static void send(CallerChannel channel, CallerChannel.ResponseHead head, Bytes body) {
        channel.start(head);
        Futures.onResult(channel.write(body), _written -> channel.finish());
    }

    static void send(CallerChannel channel, List<CallerChannel.HeaderField> headers, Problem problem) {
        List<CallerChannel.HeaderField> all = new ArrayList<>(headers);
        if (problem.retryAfterMillis() > 0) {
            long seconds = (problem.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            all.add(new CallerChannel.HeaderField("Retry-After", Long.toString(seconds)));
        }
        CallerChannel.ResponseHead head =
                new CallerChannel.ResponseHead(problem.type().status(), Problem.CONTENT_TYPE, List.copyOf(all));
        send(channel, head, Bytes.ofText(problem.toJson()));
    }
}
