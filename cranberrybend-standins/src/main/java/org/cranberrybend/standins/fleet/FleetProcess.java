package org.cranberrybend.standins.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A process of the local fleet.
 *
 * @param name unique name in the fleet
 * @param role router, controller, platform, engine or service
 * @param instance instance that the process belongs to
 * @param zone availability zone; empty for the platform
 * @param region region; empty for the platform
 * @param pid process identifier
 * @param settings settings file, relative to the directory of the fleet
 * @param addresses {@code host:port} by purpose: caller, admin, peer, operator or http
 */
record FleetProcess(
        String name,
        String role,
        String instance,
        String zone,
        String region,
        long pid,
        String settings,
        Map<String, String> addresses) {
    private static final int FIXED_COLUMNS = 7;

    /** Parses the process table that bin/cranberrybend-local writes: one line per process, fields separated by '|'. */
    static List<FleetProcess> readTable(List<String> lines) throws FleetException {
        List<FleetProcess> processes = new ArrayList<>();
        for (String line : lines) {
            String[] columns = line.split("\\|");
            Map<String, String> addresses = new LinkedHashMap<>();
            for (int i = FIXED_COLUMNS; i < columns.length; i++) {
                String[] address = columns[i].split("=", 2);
                addresses.put(address[0], address[address.length - 1]);
            }
            try {
                processes.add(new FleetProcess(
                        columns[0],
                        columns[1],
                        columns[2],
                        columns[3],
                        columns[4],
                        Long.parseLong(columns[5]),
                        columns[6],
                        addresses));
            } catch (NumberFormatException | IndexOutOfBoundsException e) {
                throw new FleetException("line of the process table is not valid: " + line, e);
            }
        }
        return processes;
    }

    /** Returns the address of the admin port; stand-ins have all interfaces on one port. */
    String adminAddress() {
        return addresses.getOrDefault("admin", addresses.getOrDefault("http", ""));
    }
}
