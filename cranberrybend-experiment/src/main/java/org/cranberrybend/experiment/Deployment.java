package org.cranberrybend.experiment;

import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.UpstreamKind;

/**
 * The two deployments of section 1.1 of the design as workloads: upstreams, request classes, bursts and faults.
 *
 * <p>Load alternates between a quiet phase and a burst at 1.5 times the capacity of the initial upstreams.
 */
enum Deployment {
    /** Bursts of questions at ticket gates together with print orders; one engine crashes and another slows down. */
    JEGYHID("layout-model", 0.6, false) {
        @Override
        List<EngineSpec> engines() {
            List<EngineSpec> engines = new ArrayList<>();
            double[] speeds = {1.0, 0.8, 1.2, 0.9, 1.0, 0.85};
            String[] zones = {"szeged-a", "debrecen-a", "gyor-a"};
            for (int number = 0; number < speeds.length; number++) {
                String zone = zones[number % 3];
                String region = number % 3 == 2 ? "dunantul" : "alfold";
                engines.add(new EngineSpec(
                        zone, region, model(), UpstreamKind.ENGINE, 16, speeds[number], Market.GUARANTEED));
            }
            for (int number = 0; number < 3; number++) {
                String region = number == 2 ? "dunantul" : "alfold";
                engines.add(
                        new EngineSpec(zones[number], region, "print", UpstreamKind.SERVICE, 8, 1, Market.GUARANTEED));
            }
            return engines;
        }

        @Override
        List<ClassSpec> classes() {
            return List.of(
                    new ClassSpec(new RequestClass("question", Tier.TIER_0, 850, 44, 0), model(), 0.35, 300, 80, true),
                    new ClassSpec(
                            new RequestClass("fine-print", Tier.TIER_1, 3_000, 60, 0.1), model(), 0.25, 800, 300, true),
                    new ClassSpec(
                            new RequestClass("layout", Tier.TIER_2, 10_000, 80, 0.1), model(), 0.2, 1_500, 600, true),
                    new ClassSpec(
                            new RequestClass("archive", Tier.TIER_3, 30_000, 200, 0.1), model(), 0.2, 1_000, 400, true),
                    new ClassSpec(
                            new RequestClass("print-order", Tier.TIER_0, 2_000, 1_000, 0),
                            "print",
                            0.5,
                            0,
                            300,
                            false));
        }

        @Override
        List<Fault> faults() {
            return List.of(
                    new Fault(Fault.Kind.CRASH, 200_000, 60_000, 1, ""),
                    new Fault(Fault.Kind.SLOW, 380_000, 60_000, 3, ""));
        }
    },
    /**
     * Long planning requests compete with short questions from sales counters. Half of the engines are preemptible, and
     * one zone loses all of its preemptible engines.
     */
    QUETZAL("fitting-model", 0.6, true) {
        @Override
        List<EngineSpec> engines() {
            List<EngineSpec> engines = new ArrayList<>();
            double[] speeds = {1.0, 0.9, 1.1, 0.8, 1.0, 1.2, 0.9, 1.0};
            String[] zones = {"antigua-norte", "antigua-sur", "xela-centro"};
            for (int number = 0; number < speeds.length; number++) {
                String region = number % 3 == 2 ? "quetzaltenango" : "sacatepequez";
                Market market = number < 4 ? Market.GUARANTEED : Market.PREEMPTIBLE;
                engines.add(new EngineSpec(
                        zones[number % 3], region, model(), UpstreamKind.ENGINE, 16, speeds[number], market));
            }
            for (int number = 0; number < 3; number++) {
                String region = number == 2 ? "quetzaltenango" : "sacatepequez";
                engines.add(new EngineSpec(
                        zones[number], region, "booking", UpstreamKind.SERVICE, 8, 1, Market.GUARANTEED));
            }
            return engines;
        }

        @Override
        List<ClassSpec> classes() {
            return List.of(
                    new ClassSpec(new RequestClass("counter", Tier.TIER_0, 850, 44, 0), model(), 0.2, 400, 60, true),
                    new ClassSpec(
                            new RequestClass("sizing-chat", Tier.TIER_1, 2_000, 60, 0.1), model(), 0.2, 600, 150, true),
                    new ClassSpec(
                            new RequestClass("plan", Tier.TIER_2, 15_000, 80, 0.15), model(), 0.4, 6_000, 1_200, true),
                    new ClassSpec(
                            new RequestClass("history", Tier.TIER_3, 60_000, 200, 0.1), model(), 0.2, 2_000, 300, true),
                    new ClassSpec(
                            new RequestClass("booking", Tier.TIER_0, 2_000, 1_000, 0), "booking", 0.3, 0, 300, false));
        }

        @Override
        List<Fault> faults() {
            return List.of(
                    new Fault(Fault.Kind.RECLAIM, 200_000, 90_000, -1, "antigua-norte"),
                    new Fault(Fault.Kind.CRASH, 430_000, 30_000, 0, ""));
        }
    };

    static final long DURATION_MS = 600_000;
    static final double BURST_RATIO = 1.5;
    static final int ACCOUNTS = 10;
    private static final long PERIOD_MS = 150_000;
    private static final long QUIET_MS = 75_000;

    private final String model;
    private final double quietRatio;
    private final boolean scaled;

    Deployment(String model, double quietRatio, boolean scaled) {
        this.model = model;
        this.quietRatio = quietRatio;
        this.scaled = scaled;
    }

    abstract List<EngineSpec> engines();

    abstract List<ClassSpec> classes();

    abstract List<Fault> faults();

    /** Returns the name of the model that the engines serve. */
    String model() {
        return model;
    }

    /** Returns whether the scaling policy orders and releases engines. */
    boolean isScaled() {
        return scaled;
    }

    /** Returns the offered load at a time, relative to the capacity of the initial upstreams. */
    double loadRatio(long atMs) {
        return isBurst(atMs) ? BURST_RATIO : quietRatio;
    }

    /** Returns whether a burst is in progress at a time. */
    static boolean isBurst(long atMs) {
        return atMs % PERIOD_MS >= QUIET_MS;
    }

    /** Returns the fraction of all requests that an account sends; a few large accounts send most of them. */
    static double accountRatio(int account) {
        double[] ratios = {0.28, 0.2, 0.14, 0.1, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02};
        return ratios[account];
    }
}
