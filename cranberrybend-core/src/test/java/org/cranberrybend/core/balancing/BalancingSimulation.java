package org.cranberrybend.core.balancing;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A service whose upstreams are chosen by several instances with outdated load reports. An upstream executes as many
 * requests as it has slots and queues the others. A response brings its instance the load of the upstream; at intervals
 * all instances receive the last load that any of them knows.
 */
final class BalancingSimulation {
    /** Chooses the upstream of a request. */
    interface Policy {
        int choose(View view, Random random);
    }

    /** What one instance knows. Times are in milliseconds. */
    static final class View {
        final int instances;
        final int slots;
        final int[] own;
        final int[] reported;
        final int[] ownAtReport;
        final double[] reportedAtMs;
        final ServiceLoad service = new ServiceLoad();
        double nowMs;

        View(int instances, int upstreams, int slots) {
            this.instances = instances;
            this.slots = slots;
            own = new int[upstreams];
            reported = new int[upstreams];
            ownAtReport = new int[upstreams];
            reportedAtMs = new double[upstreams];
            Arrays.fill(reportedAtMs, -1e9);
        }

        void report(int upstream, int requests, double atMs) {
            if (atMs > reportedAtMs[upstream]) {
                reported[upstream] = requests;
                ownAtReport[upstream] = own[upstream];
                service.recordReport(Math.max(0, requests - own[upstream]), slots, atMs - reportedAtMs[upstream]);
                reportedAtMs[upstream] = atMs;
            }
        }
    }

    private record Request(int instance, int upstream, double arrivedMs, double durationMs) {}

    private record Completion(double atMs, Request request) {}

    /**
     * What a run shows.
     *
     * @param busiestToMean requests at the busiest upstream over the mean, averaged over time
     * @param waitMs 99th percentile of the wait for a slot
     */
    record Result(double busiestToMean, double waitMs) {}

    private final int upstreams;
    private final int slots;
    private final double meanDurationMs;
    private final double exchangeMs;
    private final double interarrivalMs;
    private final View[] views;
    private final int[] running;
    private final Deque<Request>[] queues;
    private final int[] sharedLoad;
    private final double[] sharedAtMs;
    private final PriorityQueue<Completion> completions =
            new PriorityQueue<>((left, right) -> Double.compare(left.atMs, right.atMs));
    private final Random random;

    @SuppressWarnings({"unchecked", "rawtypes"})
    BalancingSimulation(
            int instances,
            int upstreams,
            int slots,
            double utilization,
            double meanDurationMs,
            double exchangeMs,
            long seed) {
        this.upstreams = upstreams;
        this.slots = slots;
        this.meanDurationMs = meanDurationMs;
        this.exchangeMs = exchangeMs;
        this.interarrivalMs = meanDurationMs / (utilization * upstreams * slots);
        this.random = new Random(seed);
        views = new View[instances];
        for (int i = 0; i < instances; i++) {
            views[i] = new View(instances, upstreams, slots);
        }
        running = new int[upstreams];
        queues = new Deque[upstreams];
        for (int i = 0; i < upstreams; i++) {
            queues[i] = new ArrayDeque<>();
        }
        sharedLoad = new int[upstreams];
        sharedAtMs = new double[upstreams];
        Arrays.fill(sharedAtMs, -1e9);
    }

    Result run(Policy policy, int requests) {
        double[] waits = new double[requests];
        double ratios = 0;
        double timeMs = 0;
        double nextExchangeMs = exchangeMs;
        for (int i = 0; i < requests; i++) {
            timeMs += random.nextDouble() == 0 ? 0 : -Math.log(1 - random.nextDouble()) * interarrivalMs;
            while (!completions.isEmpty() && completions.peek().atMs <= timeMs) {
                complete(completions.poll(), waits);
            }
            if (timeMs >= nextExchangeMs) {
                exchange();
                nextExchangeMs = timeMs + exchangeMs;
            }
            View view = views[random.nextInt(views.length)];
            view.nowMs = timeMs;
            int upstream = policy.choose(view, random);
            view.own[upstream]++;
            int instance = Arrays.asList(views).indexOf(view);
            double durationMs = -Math.log(1 - random.nextDouble()) * meanDurationMs;
            queues[upstream].add(new Request(instance, upstream, timeMs, durationMs));
            start(upstream, timeMs, waits);
            ratios += busiestToMean();
        }
        double[] started = Arrays.copyOf(waits, startedCount);
        Arrays.sort(started);
        return new Result(ratios / requests, started[(int) (started.length * 0.99)]);
    }

    private int startedCount;

    private void start(int upstream, double nowMs, double[] waits) {
        while (running[upstream] < slots && !queues[upstream].isEmpty()) {
            Request request = queues[upstream].poll();
            running[upstream]++;
            waits[startedCount++] = nowMs - request.arrivedMs;
            completions.add(new Completion(nowMs + request.durationMs, request));
        }
    }

    private void complete(Completion completion, double[] waits) {
        Request request = completion.request;
        int upstream = request.upstream;
        running[upstream]--;
        start(upstream, completion.atMs, waits);
        View view = views[request.instance];
        view.own[upstream]--;
        view.service.recordDuration(completion.atMs - request.arrivedMs);
        view.report(upstream, requestsAt(upstream), completion.atMs);
        sharedLoad[upstream] = requestsAt(upstream);
        sharedAtMs[upstream] = completion.atMs;
    }

    private void exchange() {
        for (View view : views) {
            for (int i = 0; i < upstreams; i++) {
                view.report(i, sharedLoad[i], sharedAtMs[i]);
            }
        }
    }

    private int requestsAt(int upstream) {
        return running[upstream] + queues[upstream].size();
    }

    private double busiestToMean() {
        int total = 0;
        int most = 0;
        for (int i = 0; i < upstreams; i++) {
            total += requestsAt(i);
            most = Math.max(most, requestsAt(i));
        }
        return most * (double) upstreams / total;
    }
}
