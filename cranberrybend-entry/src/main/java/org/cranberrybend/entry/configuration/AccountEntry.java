package org.cranberrybend.entry.configuration;

/**
 * A client account.
 *
 * @param name name of the account
 * @param priority priority of the account's requests, which overrides that of the route; {@link #ROUTE_PRIORITY} if the
 *     account has none
 */
public record AccountEntry(String name, int priority) {
    /** Value of {@link #priority} with which the priority of the route applies. */
    public static final int ROUTE_PRIORITY = -1;
}
