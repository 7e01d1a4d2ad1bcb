package org.cranberrybend.wire.node;

import java.util.List;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.MembershipSettings;

/**
 * Settings of a process as a member of the fleet.
 *
 * @param identity identity of this run of the process
 * @param host address on which peers reach this process
 * @param peerPort port for peers; 0 lets the system choose
 * @param adminAddress address of the administrative port, {@code host:port}
 * @param seedAddresses peer addresses to contact first, {@code host:port}
 * @param membership bounds of the membership protocol
 */
public record PeerNodeSettings(
        ProcessIdentity identity,
        String host,
        int peerPort,
        String adminAddress,
        List<String> seedAddresses,
        MembershipSettings membership) {
    public PeerNodeSettings {
        seedAddresses = List.copyOf(seedAddresses);
    }

    /** Creates settings with the default bounds of the membership protocol. */
    public PeerNodeSettings(
            ProcessIdentity identity, String host, int peerPort, String adminAddress, List<String> seedAddresses) {
        this(identity, host, peerPort, adminAddress, seedAddresses, MembershipSettings.DEFAULT);
    }
}
