package io.heatherloft.router.peers;

import io.heatherloft.domain.route.CrashingPromptDetector;
import io.heatherloft.domain.route.CrashingRequestDetector;
import io.heatherloft.peer.generated.AnsweredRequest;
import io.heatherloft.peer.generated.CrashNews;
import io.heatherloft.peer.generated.CrashedServerRequests;
import io.heatherloft.peer.generated.HostReport;
import io.heatherloft.peer.generated.PromptCrash;
import io.heatherloft.peer.generated.RequestCrashNews;
import io.heatherloft.peer.generated.ServerCrash;
import io.heatherloft.peer.generated.SoundPart;
import io.heatherloft.router.fleet.CrashingPrompts;
import io.heatherloft.router.fleet.CrashingRequests;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Converts what is known of crashing prompt parts to messages and back. Messages hold ages instead of times, because
 * the clocks of hosts differ.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class CrashNewsCodec {
    /** Age up to which crashes are told in reports; the builds that read them there count each from its arrival. */
    static final long MAX_REPORTED_CRASH_AGE_MILLIS = 60_000L;

    private CrashNewsCodec() {}

    static CrashNews encode(long fingerprint, CrashingPrompts.News news, long nowMillis) {
        CrashNews.Builder message = CrashNews.newBuilder().setFingerprint(fingerprint);
        news.crashes().forEach(crash -> {
            PromptCrash.Builder encoded = PromptCrash.newBuilder()
                    .setPart(crash.part())
                    .setServer(crash.server())
                    .setRequest(crash.request())
                    .setAgeMillis(age(crash.atMillis(), nowMillis))
                    .setChancePermille(crash.chancePermille());
            if (crash.begun()) {
                message.addPrompts(encoded);
            } else {
                message.addAwaitedPrompts(encoded);
            }
        });
        news.servers()
                .forEach(server -> message.addServers(ServerCrash.newBuilder()
                        .setServer(server.server())
                        .setAgeMillis(age(server.atMillis(), nowMillis))));
        news.soundParts().forEach(part -> message.addSound(encode(part, nowMillis)));
        news.begunParts().forEach(part -> message.addBegun(encode(part, nowMillis)));
        return message.build();
    }

    static CrashingPrompts.News decode(CrashNews message, long nowMillis) {
        return new CrashingPrompts.News(
                Stream.concat(
                                message.getPromptsList().stream().map(crash -> decode(crash, nowMillis, true)),
                                message.getAwaitedPromptsList().stream().map(crash -> decode(crash, nowMillis, false)))
                        .toList(),
                message.getServersList().stream()
                        .map(server -> new CrashingPromptDetector.CrashedServer(
                                server.getServer(), nowMillis - server.getAgeMillis()))
                        .toList(),
                message.getSoundList().stream()
                        .map(part -> decode(part, nowMillis))
                        .toList(),
                message.getBegunList().stream()
                        .map(part -> decode(part, nowMillis))
                        .toList());
    }

    private static SoundPart encode(CrashingPromptDetector.SoundPart part, long nowMillis) {
        return SoundPart.newBuilder()
                .setPart(part.part())
                .setAgeMillis(age(part.atMillis(), nowMillis))
                .build();
    }

    private static CrashingPromptDetector.SoundPart decode(SoundPart part, long nowMillis) {
        return new CrashingPromptDetector.SoundPart(part.getPart(), nowMillis - part.getAgeMillis());
    }

    private static CrashingPromptDetector.Crash decode(PromptCrash crash, long nowMillis, boolean begun) {
        return new CrashingPromptDetector.Crash(
                crash.getPart(),
                crash.getServer(),
                crash.getRequest(),
                nowMillis - crash.getAgeMillis(),
                begun,
                crash.getChancePermille());
    }

    static RequestCrashNews encode(CrashingRequests.News news, long nowMillis) {
        RequestCrashNews.Builder message = RequestCrashNews.newBuilder();
        news.crashes().stream()
                .collect(Collectors.groupingBy(
                        CrashingRequestDetector.Crash::server, LinkedHashMap::new, Collectors.toList()))
                .forEach((server, crashes) -> message.addServers(CrashedServerRequests.newBuilder()
                        .setServer(server)
                        .addAllRequests(crashes.stream()
                                .map(CrashingRequestDetector.Crash::request)
                                .toList())
                        .addAllRunMillis(crashes.stream()
                                .map(crash -> age(crash.startedMillis(), crash.atMillis()))
                                .toList())
                        .setAgeMillis(crashes.stream()
                                .mapToInt(crash -> age(crash.atMillis(), nowMillis))
                                .max()
                                .orElse(0))));
        news.answers()
                .forEach(answer -> message.addAnswered(AnsweredRequest.newBuilder()
                        .setRequest(answer.request())
                        .setAgeMillis(age(answer.atMillis(), nowMillis))));
        return message.build();
    }

    static CrashingRequests.News decode(RequestCrashNews message, long nowMillis) {
        return new CrashingRequests.News(
                message.getServersList().stream()
                        .flatMap(crashed -> IntStream.range(0, crashed.getRequestsCount())
                                .mapToObj(index -> decode(crashed, index, nowMillis)))
                        .toList(),
                message.getAnsweredList().stream()
                        .map(answered -> new CrashingRequestDetector.Answer(
                                answered.getRequest(), nowMillis - answered.getAgeMillis()))
                        .toList());
    }

    // Builds that do not tell how long a run lasted leave the list empty.
    private static CrashingRequestDetector.Crash decode(CrashedServerRequests crashed, int index, long nowMillis) {
        long atMillis = nowMillis - crashed.getAgeMillis();
        long runMillis = index < crashed.getRunMillisCount() ? crashed.getRunMillis(index) : 0;
        return new CrashingRequestDetector.Crash(
                crashed.getRequests(index), crashed.getServer(), atMillis - runMillis, atMillis);
    }

    // Builds before RequestCrashNews tell crashes in reports alone, without their ages. The greatest age is assumed, so
    // that any later answer clears the request. Their answers are left out, because they may be failures.
    static CrashingRequests.News decode(HostReport report, long nowMillis) {
        long crashMillis = nowMillis - report.getAgeMillis() - MAX_REPORTED_CRASH_AGE_MILLIS;
        return new CrashingRequests.News(
                report.getCrashesList().stream()
                        .map(crash -> new CrashingRequestDetector.Crash(
                                crash.getRequestHash(), crash.getServer(), crashMillis))
                        .toList(),
                List.of());
    }

    private static int age(long atMillis, long nowMillis) {
        return (int) Math.max(0, nowMillis - atMillis);
    }
}
