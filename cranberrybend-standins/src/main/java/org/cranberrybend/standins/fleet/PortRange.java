package org.cranberrybend.standins.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds consecutive free TCP ports on the loopback address. */
final class PortRange {
    // Below the range from which common systems choose ports of outgoing connections, which could take one meanwhile.
    private static final int FIRST_BASE = 12_000;
    private static final int LAST_BASE = 32_000;
    private static final int ATTEMPTS = 100;

    private PortRange() {}

    /**
     * Returns the first of the free ports.
     *
     * @param requestedBase first port wanted, or 0 to choose one
     */
    static int find(int count, int requestedBase) throws FleetException {
        if (requestedBase != 0) {
            int taken = firstUnavailable(requestedBase, count);
            if (taken != 0) {
                throw new FleetException("port " + taken + " of the range " + requestedBase + " to "
                        + (requestedBase + count - 1) + " is in use or not allowed");
            }
            return requestedBase;
        }
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int base = ThreadLocalRandom.current().nextInt(FIRST_BASE, LAST_BASE);
            if (firstUnavailable(base, count) == 0) {
                return base;
            }
        }
        throw new FleetException("no " + count + " consecutive free ports found in " + ATTEMPTS + " attempts");
    }

    /** Returns the first port that cannot be used, or 0 if all can. */
    private static int firstUnavailable(int base, int count) {
        for (int port = base; port < base + count; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                socket.setReuseAddress(true);
            } catch (IOException | IllegalArgumentException e) {
                return port;
            }
        }
        return 0;
    }
}
