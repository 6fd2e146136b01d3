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
    private final List<String> passedOn = new ArrayList<>();

    private EventRelay relayAfter(OptionalLong lastId) {
        return new EventRelay(lastId, event -> {
            passedOn.add(event.toString(StandardCharsets.UTF_8));
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
    final class AStreamCutAnywhere {
        @Test
        void gives_the_same_events_as_the_whole_text_split_at_blank_lines() {
            Random random = new Random(7);
            for (int round = 0; round < 300; round++) {
                passedOn.clear();
                String text = events(1, 1 + random.nextInt(12));
                EventRelay relay = relayAfter(OptionalLong.empty());
                int position = 0;
                while (position < text.length()) {
                    int end = Math.min(text.length(), position + 1 + random.nextInt(25));
                    feed(relay, text.substring(position, end));
                    position = end;
                }
                assertThat(String.join("", passedOn)).isEqualTo(text);
                assertThat(passedOn)
                        .containsExactlyElementsIn(List.of(text.split("(?<=\n\n)", 0)))
                        .inOrder();
                assertThat(relay.hasPartial()).isFalse();
            }
        }
    }

    @Nested
    final class AResumedStream {
        @Test
        void passes_each_event_once_whatever_the_runs_repeat() {
            Random random = new Random(11);
            for (int round = 0; round < 300; round++) {
                passedOn.clear();
                EventRelay relay = relayAfter(OptionalLong.empty());
                int reached = 0;
                while (reached < 10) {
                    int first = 1 + random.nextInt(reached + 1);
                    int last = Math.min(10, first + random.nextInt(6));
                    feed(relay, events(first, last) + event(last + 1).substring(0, random.nextInt(8)));
                    relay.discardPartial();
                    reached = Math.max(reached, last);
                }
                assertThat(relay.isDisordered()).isFalse();
                assertThat(String.join("", passedOn)).isEqualTo(events(1, 10));
            }
        }

        @Test
        void stops_at_a_missing_event() {
            EventRelay relay = relayAfter(OptionalLong.of(3));
            feed(relay, event(4) + event(6));
            assertThat(relay.isDisordered()).isTrue();
            assertThat(passedOn).containsExactly(event(4));
        }
    }
}
