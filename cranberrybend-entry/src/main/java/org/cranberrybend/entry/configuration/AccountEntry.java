package org.cranberrybend.entry.configuration;

/**
 * A client account.
 *
 * @param name name of the account
 * @param priority rank that goes before that of the route; negative if the route's rank holds
 */
public record AccountEntry(String name, int priority) {
    /** Value of {@link #priority} that leaves the rank to the route. */
    public static final int ROUTE_PRIORITY = -1;
}
