package io.heatherloft.bench;

import com.google.common.hash.Hashing;
import io.heatherloft.domain.ledger.Bill;
import io.heatherloft.domain.ledger.LedgerRecord;
import io.heatherloft.domain.ledger.RequestKey;
import io.heatherloft.domain.membership.Member;
import io.heatherloft.domain.membership.MemberTable;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Data of the shapes that the fleet handles. Stateless and safe for use by several threads. */
final class SampleData {
    private static final long SEED = 7L;

    private SampleData() {}

    static Member member(int index) {
        return new Member(
                "entry-host-" + index,
                1_800_000_000_000L + index,
                0,
                "10.20." + index / 250 + "." + index % 250 + ":9000",
                "zone-" + index % 4,
                Member.Status.ALIVE);
    }

    static MemberTable members(int hosts) {
        MemberTable table = new MemberTable(member(0), new Random(SEED));
        IntStream.range(1, hosts).forEach(index -> table.merge(member(index), 0));
        return table;
    }

    static LedgerRecord.Settlement settlement(long number, long nowMillis) {
        RequestKey key = new RequestKey(
                "workspace-" + number % 20,
                RequestKey.Kind.IDEMPOTENT,
                new UUID(number, number * 31) + ":" + Long.toHexString(number * 0x9E3779B97F4A7C15L));
        Bill bill = new Bill(List.of(new Bill.Line("rota-planner@2026-11", "10.20.1.17:9000", 812, 303, 7_000)));
        return new LedgerRecord.Settlement(key, Optional.empty(), bill, Optional.empty(), nowMillis);
    }

    static String configuration(int workspaces) {
        String head =
                """
                pools:
                  - {name: runners, max-in-flight-per-server: 64}
                models:
                  - name: small
                    versions:
                      - {name: "1", pool: runners, output-micros-per-thousand-tokens: 1000}
                      - {name: "2", pool: runners, output-micros-per-thousand-tokens: 1000}
                cascades:
                  - {name: brief, steps: [small], quality-target: 0.8}
                workspaces:
                """;
        return head
                + IntStream.range(0, workspaces).mapToObj(SampleData::workspace).collect(Collectors.joining());
    }

    private static String workspace(int index) {
        return """
                  - name: workspace-%d
                    key-digests: [%s]
                    models:
                      - {model: small, versions: ["1", "2"]}
                    classes: {coverage-check: brief}
                    limits: {max-in-flight: 64, max-queued: 64}
                """
                .formatted(index, Hashing.sha256().hashString("key-" + index, StandardCharsets.UTF_8));
    }
}
