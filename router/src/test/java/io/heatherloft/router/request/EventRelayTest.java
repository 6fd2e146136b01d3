package io.heatherloft.router.request;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EventRelayTest {
    private final List<String> relayed = new ArrayList<>();

    private EventRelay relayAfter(OptionalLong lastId) {
        return new EventRelay(lastId, event -> {
            relayed.add(event.toString(StandardCharsets.UTF_8));
            event.release();
        });
    }

    private static String event(int id) {
        return "x-weight-versions: 1\nid: " + id + "\ndata: token " + id + "\n\n";
    }

    private static String events(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(EventRelayTest::event)
                .collect(Collectors.joining());
    }

    private static void feed(EventRelay relay, String text) {
        relay.accept(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Nested
    final class AStreamInArbitraryChunks {
        @Test
        void is_split_into_events_at_blank_lines() {
            Random random = new Random(7);
            for (int round = 0; round < 300; round++) {
                relayed.clear();
                String text = events(1, 1 + random.nextInt(12));
                EventRelay relay = relayAfter(OptionalLong.empty());
                int position = 0;
                while (position < text.length()) {
                    int end = Math.min(text.length(), position + 1 + random.nextInt(25));
                    feed(relay, text.substring(position, end));
                    position = end;
                }
                assertThat(String.join("", relayed)).isEqualTo(text);
                assertThat(relayed)
                        .containsExactlyElementsIn(List.of(text.split("(?<=\n\n)", 0)))
                        .inOrder();
                assertThat(relay.hasPartialEvent()).isFalse();
            }
        }
    }

    @Nested
    final class AResumedStream {
        @Test
        void relays_each_event_once_when_attempts_repeat_events() {
            Random random = new Random(11);
            for (int round = 0; round < 300; round++) {
                relayed.clear();
                EventRelay relay = relayAfter(OptionalLong.empty());
                int reached = 0;
                while (reached < 10) {
                    int first = 1 + random.nextInt(reached + 1);
                    int last = Math.min(10, first + random.nextInt(6));
                    feed(relay, events(first, last) + event(last + 1).substring(0, random.nextInt(8)));
                    relay.discardPartialEvent();
                    reached = Math.max(reached, last);
                }
                assertThat(relay.hasGap()).isFalse();
                assertThat(String.join("", relayed)).isEqualTo(events(1, 10));
            }
        }

        @Test
        void stops_at_a_gap_in_the_event_ids() {
            EventRelay relay = relayAfter(OptionalLong.of(3));
            feed(relay, event(4) + event(6));
            assertThat(relay.hasGap()).isTrue();
            assertThat(relayed).containsExactly(event(4));
        }
    }

    /** Guards against a server that sends an event without end in small pieces, which took the square of its size. */
    @Nested
    final class AnEventInSmallPieces {
        private static final int BYTES = 100_000;

        @Test
        void is_scanned_once() {
            EventRelay relay = relayAfter(OptionalLong.empty());
            IntStream.range(0, BYTES).forEach(_piece -> feed(relay, "x"));
            assertThat(relay.hasPartialEvent()).isTrue();
            assertThat(relay.processedBytes()).isAtMost(2L * BYTES);
        }

        @Test
        void is_scanned_once_if_it_has_many_lines() {
            EventRelay relay = relayAfter(OptionalLong.empty());
            IntStream.range(0, BYTES / 4).forEach(_piece -> feed(relay, "x:y\n"));
            assertThat(relay.processedBytes()).isAtMost(2L * BYTES);
            feed(relay, "\n");
            assertThat(relayed).hasSize(1);
            assertThat(relay.hasPartialEvent()).isFalse();
        }
    }
}
