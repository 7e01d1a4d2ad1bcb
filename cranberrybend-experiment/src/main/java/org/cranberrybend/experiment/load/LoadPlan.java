package org.cranberrybend.experiment.load;

/**
 * The load sent to each target.
 *
 * @param model model that the requests name
 * @param concurrency number of requests in flight
 * @param requestsPerRound requests in one round
 * @param rounds measured rounds; each contains all targets, so that drift of the machine's speed affects all alike
 * @param maxTokens output tokens of each request
 * @param promptCharacters length of each prompt
 */
public record LoadPlan(
        String model, int concurrency, int requestsPerRound, int rounds, int maxTokens, int promptCharacters) {
    public LoadPlan {
        if (concurrency < 1 || requestsPerRound < 1 || rounds < 1 || maxTokens < 1 || promptCharacters < 1) {
            throw new IllegalArgumentException("all values of a load plan must be at least 1");
        }
    }
}
