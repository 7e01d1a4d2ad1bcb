package org.cranberrybend.entry.configuration;

import java.util.List;

/**
 * A client account as configured.
 *
 * @param entry the account
 * @param keys API keys of the account
 */
public record AccountDefinition(AccountEntry entry, List<String> keys) {
    public AccountDefinition {
        keys = List.copyOf(keys);
    }
}
