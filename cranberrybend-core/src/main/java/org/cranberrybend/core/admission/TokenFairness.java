package org.cranberrybend.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Weighted tokens served per client account of one tier; the account with the fewest is served next.
 *
 * <p>Edge cases: an account that starts to wait again is lifted to the lowest count of the accounts that wait, or of the
 * last one served when none waits, so that idle time is not saved up as credit. An account above that count keeps its
 * count. Accounts that are idle and at or below the floor are forgotten, because a lift would give the same result.
 */
public final class TokenFairness {
    private static final int IDLE_ACCOUNTS_KEPT = 1_024;

    private final Map<String, Account> accounts = new HashMap<>();
    /** Never falls: count of the account last served, before it was charged. */
    private double floorTokens;

    /** Counts a request that starts to wait. */
    public void arrived(String clientAccount, double weightRatio) {
        prune();
        Account account = accounts.computeIfAbsent(clientAccount, name -> new Account());
        account.weightRatio = weightRatio;
        if (account.waiting == 0) {
            account.tokens = Math.max(account.tokens, lowestWaiting());
        }
        account.waiting++;
    }

    /** Counts a request that no longer waits. */
    public void left(String clientAccount) {
        accounts.get(clientAccount).waiting--;
    }

    /** Charges tokens on dispatch, or a correction of an earlier charge, which may be negative. */
    public void charge(String clientAccount, double weightRatio, double tokens) {
        Account account = accounts.get(clientAccount);
        if (account == null) {
            // Forgotten while its request ran; a later lift makes up for the lost correction.
            return;
        }
        if (tokens > 0 && account.waiting > 0) {
            floorTokens = Math.max(floorTokens, Math.min(account.tokens, lowestWaiting()));
        }
        account.tokens += tokens / weightRatio;
    }

    /** Returns the weighted tokens charged to an account, with its lifts. */
    public double tokens(String clientAccount) {
        Account account = accounts.get(clientAccount);
        return account == null ? floorTokens : account.tokens;
    }

    /** Returns the accounts with waiting requests, in the order in which they are served. */
    public List<String> order() {
        return accounts.entrySet().stream()
                .filter(entry -> entry.getValue().waiting > 0)
                .sorted(Comparator.<Map.Entry<String, Account>>comparingDouble(entry -> entry.getValue().tokens)
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the weight of an account with waiting requests. */
    double weight(String clientAccount) {
        return accounts.get(clientAccount).weightRatio;
    }

    private double lowestWaiting() {
        double lowest = Double.POSITIVE_INFINITY;
        for (Account account : accounts.values()) {
            if (account.waiting > 0) {
                lowest = Math.min(lowest, account.tokens);
            }
        }
        return lowest == Double.POSITIVE_INFINITY ? floorTokens : lowest;
    }

    private void prune() {
        if (accounts.size() > IDLE_ACCOUNTS_KEPT) {
            accounts.values().removeIf(account -> account.waiting == 0 && account.tokens <= floorTokens);
        }
    }

    private static final class Account {
        private double tokens;
        private double weightRatio = 1;
        private int waiting;
    }
}
