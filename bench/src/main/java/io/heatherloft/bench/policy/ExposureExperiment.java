package io.heatherloft.bench.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.heatherloft.domain.rollout.QualityRegressionDetector;
import io.heatherloft.domain.rollout.RatingSampler;
import java.util.Random;

/**
 * How much of a day's work a version that turns bad gets before it is stopped, and how often a good one is stopped.
 *
 * <p>A day's requests of one model arrive evenly; the new version has five in a hundred of them. Confined to one thread.
 */
final class ExposureExperiment {
    private static final long SEED = 99L;
    private static final int REQUESTS_A_DAY = 20_000;
    private static final double SHARE = 0.05;
    private static final double QUALITY = 0.85;
    private static final double DEVIATION = 0.15;
    private static final long DAY_MILLIS = 86_400_000L;
    private static final long SPREAD_MILLIS = 2_000L;
    private static final int FALSE_ALARM_FACTOR = 5;

    private ExposureExperiment() {}

    static JsonNode run(int days) {
        ArrayNode figures = new ObjectMapper().createArrayNode();
        for (double fall : new double[] {0.1, 0.2, 0.4}) {
            long worst = 0;
            double sum = 0;
            int missed = 0;
            for (int day = 0; day < days; day++) {
                Day result = simulate(fall, new Random(SEED + day));
                worst = Math.max(worst, result.exposed());
                sum += result.exposed();
                missed += result.stopped() ? 0 : 1;
            }
            figures.addObject()
                    .put("fall of quality", fall)
                    .put("days", days)
                    .put("mean exposure, percent of a day's requests", 100 * sum / days / REQUESTS_A_DAY)
                    .put("worst exposure, percent of a day's requests", 100.0 * worst / REQUESTS_A_DAY)
                    .put("days in which it was not stopped", missed);
        }
        int quietDays = days * FALSE_ALARM_FACTOR;
        int alarms = 0;
        for (int day = 0; day < quietDays; day++) {
            alarms += simulate(0, new Random(SEED * 7 + day)).stopped() ? 1 : 0;
        }
        figures.addObject()
                .put("fall of quality", 0.0)
                .put("days", quietDays)
                .put("false alarms", alarms)
                .put("false alarms in 100 version-days", 100.0 * alarms / quietDays);
        return figures;
    }

    // The version is good for a random part of the day and bad from then on; a fall of zero is a quiet day.
    private static Day simulate(double fall, Random random) {
        QualityRegressionDetector watch = new QualityRegressionDetector();
        RatingSampler sampler = new RatingSampler(random, 5.0, 50.0);
        int turn = (int) (REQUESTS_A_DAY * 0.8 * random.nextDouble());
        long stopAt = Long.MAX_VALUE;
        long exposed = 0;
        boolean falseAlarm = false;
        for (int index = 0; index < REQUESTS_A_DAY; index++) {
            long now = index * DAY_MILLIS / REQUESTS_A_DAY;
            boolean onNew = random.nextDouble() < SHARE;
            boolean bad = fall > 0 && index >= turn;
            double score =
                    Math.max(0, Math.min(1, QUALITY - (bad && onNew ? fall : 0) + DEVIATION * random.nextGaussian()));
            if (onNew && bad && now < stopAt) {
                exposed++;
            }
            RatingSampler.Role role = onNew ? RatingSampler.Role.NEW_VERSION : RatingSampler.Role.REFERENCE;
            if (now < stopAt && sampler.sample(role, now)) {
                if (!onNew) {
                    watch.addReference(score);
                } else if (watch.add(score)) {
                    stopAt = Math.min(stopAt, now + SPREAD_MILLIS);
                    falseAlarm |= !bad;
                }
            }
        }
        return new Day(exposed, fall > 0 ? stopAt < Long.MAX_VALUE : falseAlarm);
    }

    private record Day(long exposed, boolean stopped) {}
}
