package io.heatherloft.router.peers;

import io.heatherloft.domain.route.CrashingPromptDetector;
import io.heatherloft.peer.generated.CrashNews;
import io.heatherloft.peer.generated.PromptCrash;
import io.heatherloft.peer.generated.ServerCrash;
import io.heatherloft.peer.generated.SoundPart;
import io.heatherloft.router.fleet.CrashingPrompts;

/**
 * Converts what is known of crashing prompt parts to messages and back. Messages hold ages instead of times, because
 * the clocks of hosts differ.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class CrashNewsCodec {
    private CrashNewsCodec() {}

    static CrashNews encode(long fingerprint, CrashingPrompts.News news, long nowMillis) {
        CrashNews.Builder message = CrashNews.newBuilder().setFingerprint(fingerprint);
        news.crashes()
                .forEach(crash -> message.addPrompts(PromptCrash.newBuilder()
                        .setPart(crash.part())
                        .setServer(crash.server())
                        .setRequest(crash.request())
                        .setAgeMillis(age(crash.atMillis(), nowMillis))));
        news.servers()
                .forEach(server -> message.addServers(ServerCrash.newBuilder()
                        .setServer(server.server())
                        .setAgeMillis(age(server.atMillis(), nowMillis))));
        news.soundParts()
                .forEach(part -> message.addSound(
                        SoundPart.newBuilder().setPart(part.part()).setAgeMillis(age(part.atMillis(), nowMillis))));
        return message.build();
    }

    static CrashingPrompts.News decode(CrashNews message, long nowMillis) {
        return new CrashingPrompts.News(
                message.getPromptsList().stream()
                        .map(crash -> new CrashingPromptDetector.Crash(
                                crash.getPart(),
                                crash.getServer(),
                                crash.getRequest(),
                                nowMillis - crash.getAgeMillis()))
                        .toList(),
                message.getServersList().stream()
                        .map(server -> new CrashingPromptDetector.CrashedServer(
                                server.getServer(), nowMillis - server.getAgeMillis()))
                        .toList(),
                message.getSoundList().stream()
                        .map(part ->
                                new CrashingPromptDetector.SoundPart(part.getPart(), nowMillis - part.getAgeMillis()))
                        .toList());
    }

    private static int age(long atMillis, long nowMillis) {
        return (int) Math.max(0, nowMillis - atMillis);
    }
}
