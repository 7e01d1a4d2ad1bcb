package org.cranberrybend.experiment.load;

/**
 * The same work for every target.
 *
 * @param model model named in the requests
 * @param concurrency requests in progress at a time
 * @param requestsPerRound requests in one round
 * @param rounds rounds; targets take turns so that drift of the machine affects all alike
 * @param maxTokens output tokens of each request
 * @param promptCharacters length of each prompt
 */
public record LoadPlan(
        String model, int concurrency, int requestsPerRound, int rounds, int maxTokens, int promptCharacters) {
    public LoadPlan {
        if (concurrency < 1 || requestsPerRound < 1 || rounds < 1 || maxTokens < 1 || promptCharacters < 1) {
            throw new IllegalArgumentException("all numbers of a load plan must be at least 1");
        }
    }
}
