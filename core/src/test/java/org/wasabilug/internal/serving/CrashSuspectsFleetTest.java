package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CrashSuspectsFleetTest {
    private static final long GRACE_MILLIS = 3_000;
    private static final int MAX_LATE_SENDS = 3;
    private static final int SEEDS = 20;
    private static final long BAD = 666;
    private static final long CALLER = 1;
    private static final long SYSTEM = 10;
    private static final long TOOLS = 20;
    private static final long END_MILLIS = 60_000;

    private static CrashFleet fleet(long seed) {
        return new CrashFleet(seed, 8, 40, 4);
    }

    private static void addSound(CrashFleet fleet, double rate, long endMillis) {
        fleet.requests(
                0,
                endMillis,
                rate,
                at -> fleet.requestAt(at, CALLER, Set.of(SYSTEM, TOOLS + at % 5)));
    }

    private static void addBad(CrashFleet fleet, double rate, long fromMillis, long endMillis) {
        fleet.addBadPart(BAD);
        fleet.requests(
                fromMillis,
                endMillis,
                rate,
                at -> fleet.requestAt(at, CALLER, Set.of(SYSTEM, TOOLS + at % 5, BAD)));
    }

    private static void report(String what, long seed, CrashFleet fleet) {
        System.out.println(
                "FLEET %s seed %d: crashes %d sends %d late %d refused %d served %d unserved %d %s"
                        .formatted(
                                what,
                                seed,
                                fleet.badCrashes(),
                                fleet.badSends(),
                                fleet.badSendsAfterFifthCrash(GRACE_MILLIS),
                                fleet.soundRefusals().size(),
                                fleet.soundServed(),
                                fleet.soundUnserved(),
                                fleet.soundRefusals().stream().limit(8).toList()));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1, 2, 5, 10})
    void steady(double rate) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashFleet fleet = fleet(seed);
            addSound(fleet, 30, END_MILLIS);
            addBad(fleet, rate, 10_000, END_MILLIS);
            fleet.run(END_MILLIS);
            report("steady" + rate, seed, fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 2, 10})
    void small(double rate) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashFleet fleet = new CrashFleet(seed, 2, 8, 2);
            addSound(fleet, 10, END_MILLIS);
            addBad(fleet, rate, 10_000, END_MILLIS);
            fleet.run(END_MILLIS);
            report("small" + rate, seed, fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5, 8, 12})
    void bursts(int size) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashFleet fleet = fleet(seed);
            addSound(fleet, 30, END_MILLIS);
            fleet.addBadPart(BAD);
            for (long at = 10_000; at < END_MILLIS; at += 6_000) {
                for (int i = 0; i < size; i++) {
                    fleet.requestAt(at + 10 * i, CALLER, Set.of(SYSTEM, TOOLS + i, BAD));
                }
            }
            fleet.run(END_MILLIS);
            report("bursts" + size, seed, fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 3_000, 10_000})
    void domain(long spread) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashFleet fleet = fleet(seed);
            addSound(fleet, 30, END_MILLIS);
            fleet.crashDomainAt(20_000, "d1", spread);
            fleet.run(END_MILLIS);
            report("domain" + spread, seed, fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 3_000, 10_000, 40_000})
    void all(long spread) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashFleet fleet = fleet(seed);
            addSound(fleet, 30, END_MILLIS);
            for (int d = 0; d < 4; d++) {
                fleet.crashDomainAt(20_000, "d" + d, spread);
            }
            fleet.run(END_MILLIS);
            report("all" + spread, seed, fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 5, 20})
    void rareparts(long every) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashFleet fleet = fleet(seed);
            Random random = new Random(seed);
            fleet.requests(
                    0,
                    END_MILLIS,
                    60,
                    at ->
                            fleet.requestAt(
                                    at,
                                    random.nextInt(5),
                                    Set.of(SYSTEM, 1000 + (long) random.nextInt(200))));
            for (int i = 0; i < 40 * 3; i++) {
                fleet.crashAt(10_000 + i * 1000 / every, i % 40);
            }
            fleet.run(END_MILLIS);
            report("rare" + every, seed, fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 2, 10})
    void companion(double rate) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashFleet fleet = fleet(seed);
            addSound(fleet, 30, END_MILLIS);
            fleet.addBadPart(BAD);
            fleet.requests(
                    10_000,
                    END_MILLIS,
                    rate,
                    at -> fleet.requestAt(at, CALLER, Set.of(SYSTEM, 77L, BAD)));
            fleet.requests(
                    25_000,
                    END_MILLIS,
                    2,
                    at -> fleet.requestAt(at, CALLER, Set.of(SYSTEM, 77L)));
            fleet.run(END_MILLIS);
            report("companion" + rate, seed, fleet);
        }
    }
}
