package org.cranberrybend.standins.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds consecutive free TCP ports on the loopback address. */
final class PortRange {
    // Below the ephemeral port range of common systems; an outgoing connection could otherwise
    // take a port before its use.
    private static final int FIRST_BASE = 12_000;
    private static final int LAST_BASE = 32_000;
    private static final int ATTEMPTS = 100;

    private PortRange() {}

    /**
     * Returns the first port of a range of free ports.
     *
     * @param requestedBase first port of the range, or 0 to select a free range
     */
    static int find(int count, int requestedBase) throws FleetException {
        if (requestedBase != 0) {
            int unavailable = firstUnavailable(requestedBase, count);
            if (unavailable != 0) {
                throw new FleetException("port " + unavailable + " of the range " + requestedBase + " to "
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

    /** Returns the first unavailable port of a range, or 0 if all are free. */
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
