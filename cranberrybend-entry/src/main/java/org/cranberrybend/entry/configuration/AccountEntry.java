package org.cranberrybend.entry.configuration;

/**
 * A client account.
 *
 * @param name name of the account
 * @param priority priority of the account's requests, which overrides that of the route; {@link #ROUTE_PRIORITY} if the
 *     account has none
 * @param regions regions in which the account's requests may be processed
 */
public record AccountEntry(String name, int priority, RegionConstraint regions) {
    /** Value of {@link #priority} with which the priority of the route applies. */
    public static final int ROUTE_PRIORITY = -1;

    /** Creates an account whose requests may be processed in every region. */
    public AccountEntry(String name, int priority) {
        this(name, priority, RegionConstraint.NONE);
    }
}
