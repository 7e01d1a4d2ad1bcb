package org.cranberrybend.experiment.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Runs a load plan against several targets, one target after the other in each round. */
public final class LoadRun {
    private final LoadPlan plan;
    private final long seed;

    /** Creates a run; the seed determines the prompts. */
    public LoadRun(LoadPlan plan, long seed) {
        this.plan = plan;
        this.seed = seed;
    }

    /** Returns the results by target. An additional first round of each target is a warm-up that is not counted. */
    public Map<LoadTarget, LoadResult> run(List<LoadTarget> targets) throws InterruptedException, ExecutionException {
        Map<LoadTarget, LoadResult> results = new LinkedHashMap<>();
        targets.forEach(target -> results.put(target, new LoadResult()));
        ExecutorService executor = Executors.newFixedThreadPool(plan.concurrency());
        try (StreamCaller caller = new StreamCaller(plan.concurrency())) {
            for (int round = 0; round <= plan.rounds(); round++) {
                for (LoadTarget target : targets) {
                    LoadResult result = round == 0 ? new LoadResult() : results.get(target);
                    runRound(executor, caller, target, result, prompts(round));
                }
            }
        } finally {
            executor.shutdownNow();
        }
        return results;
    }

    private List<String> prompts(int round) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + round);
        List<String> prompts = new ArrayList<>();
        for (int i = 0; i < plan.requestsPerRound(); i++) {
            StringBuilder prompt = new StringBuilder();
            while (prompt.length() < plan.promptCharacters()) {
                prompt.append((char) ('a' + random.nextInt(26)));
            }
            prompts.add(prompt.toString());
        }
        return prompts;
    }

    private void runRound(
            ExecutorService executor, StreamCaller caller, LoadTarget target, LoadResult result, List<String> prompts)
            throws InterruptedException, ExecutionException {
        AtomicInteger next = new AtomicInteger();
        long startNs = System.nanoTime();
        List<Future<?>> workers = new ArrayList<>();
        for (int i = 0; i < plan.concurrency(); i++) {
            workers.add(executor.submit(() -> {
                for (int n = next.getAndIncrement(); n < prompts.size(); n = next.getAndIncrement()) {
                    callOnce(caller, target, result, prompts.get(n));
                }
            }));
        }
        for (Future<?> worker : workers) {
            worker.get();
        }
        result.addElapsedNs(System.nanoTime() - startNs);
    }

    private void callOnce(StreamCaller caller, LoadTarget target, LoadResult result, String prompt) {
        try {
            result.add(caller.call(target, plan, prompt));
        } catch (IOException e) {
            result.addFailure();
        }
    }
}
