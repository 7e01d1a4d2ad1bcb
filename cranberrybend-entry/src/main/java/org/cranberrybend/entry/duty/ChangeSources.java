package org.cranberrybend.entry.duty;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Instances from which an instance may receive the changes of the store, by their control addresses. The order is such that
 * the instances of an availability zone agree on one of them that reads from the store for the others.
 *
 * @param preferred instances that are asked before the store
 * @param alternatives instances that are asked while the store is unavailable to this instance, the nearest first
 */
public record ChangeSources(List<InetSocketAddress> preferred, List<InetSocketAddress> alternatives) {
    /** No other instance is known. */
    public static final ChangeSources NONE = new ChangeSources(List.of(), List.of());

    public ChangeSources {
        preferred = List.copyOf(preferred);
        alternatives = List.copyOf(alternatives);
    }
}
