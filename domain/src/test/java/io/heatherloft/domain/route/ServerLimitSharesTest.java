package io.heatherloft.domain.route;

import static com.google.common.truth.Truth.assertThat;

import io.heatherloft.domain.route.ServerLimitShares.Claim;
import io.heatherloft.domain.route.ServerLimitShares.Observation;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ServerLimitSharesTest {
    private static final long SELF = 1;
    private static final long SERVER = 100;
    private static final OptionalDouble NONE = OptionalDouble.empty();

    private final ServerLimitShares shares = new ServerLimitShares(SELF);

    private boolean nameLimit(double requestsPerSecond, long nowMillis) {
        return shares.recordResponse(SERVER, OptionalDouble.of(requestsPerSecond), nowMillis - 50, nowMillis);
    }

    // Sends a request whenever it is allowed, and returns the number of requests.
    private int sendFor(long fromMillis, long toMillis) {
        return (int) LongStream.range(fromMillis, toMillis)
                .filter(now -> shares.mayUse(SERVER, 1, now))
                .peek(_now -> shares.recordSend(SERVER))
                .count();
    }

    @Nested
    final class ASingleHost {
        @Test
        void uses_a_server_without_limit_freely() {
            assertThat(shares.mayUse(SERVER, 1, 0)).isTrue();
            assertThat(shares.recordResponse(SERVER, NONE, 0, 50)).isFalse();
            assertThat(shares.mayUse(SERVER, 1, 60)).isTrue();
        }

        @Test
        void keeps_to_the_whole_limit() {
            assertThat(nameLimit(2, 0)).isTrue();
            assertThat(sendFor(1, 2_000)).isEqualTo(0);
            assertThat(sendFor(2_000, 12_000)).isIn(List.of(19, 20, 21));
        }

        @Test
        void returns_to_normal_when_a_response_to_a_later_request_names_no_limit() {
            nameLimit(1, 1_000);
            assertThat(shares.recordResponse(SERVER, NONE, 990, 1_200)).isFalse();
            assertThat(shares.mayUse(SERVER, 1, 1_200)).isFalse();
            assertThat(shares.recordResponse(SERVER, NONE, 1_100, 1_300)).isTrue();
            assertThat(shares.mayUse(SERVER, 1, 1_300)).isTrue();
        }

        // A limit was forgotten while its server stood by it, once more than 256 servers had named theirs.
        @Test
        void keeps_the_limits_of_600_servers() {
            LongStream.range(0, 600)
                    .forEach(server -> assertThat(shares.recordResponse(server, OptionalDouble.of(1), 0, 50))
                            .isTrue());
            assertThat(LongStream.range(0, 600)
                            .filter(server -> shares.mayUse(server, 1, 100))
                            .toArray())
                    .isEmpty();
        }

        @Test
        void still_asks_a_server_that_accepts_nothing_now_and_then() {
            nameLimit(0, 0);
            assertThat(sendFor(1, 60_000)).isIn(List.of(5, 6));
        }
    }

    @Nested
    final class SeveralHosts {
        private void mergeClaims(int hosts, long nowMillis) {
            List<Claim> claims = IntStream.range(0, hosts)
                    .mapToObj(host -> new Claim(1_000L + host, nowMillis))
                    .toList();
            boolean _changed =
                    shares.merge(new Observation(SERVER, OptionalDouble.of(1.1), 0, claims), hosts + 1, nowMillis);
        }

        @Test
        void learn_of_a_limit_from_each_other() {
            boolean changed = shares.merge(new Observation(SERVER, OptionalDouble.of(1.1), 0, List.of()), 2, 10);
            assertThat(changed).isTrue();
            assertThat(shares.mayUse(SERVER, 2, 20)).isFalse();
        }

        @Test
        void hold_few_shares_of_a_low_limit_however_many_they_are() {
            nameLimit(1.1, 0);
            assertThat(shares.mayUse(SERVER, 58, 1)).isFalse();
            LongStream.range(0, 20).forEach(second -> mergeClaims(57, second * 1_000));
            assertThat(shares.observations(1, 20_000).get(0).claims()).hasSize(4);
        }

        @Test
        void take_over_the_share_of_a_host_that_no_longer_claims_it() {
            nameLimit(1.1, 0);
            mergeClaims(57, 0);
            assertThat(sendFor(1, 5_000)).isEqualTo(0);
            assertThat(sendFor(5_000, 40_000)).isAtLeast(20);
        }
    }
}
