package org.cranberrybend.entry.duty;

import java.util.Locale;

/** Keys that this program writes in the platform's key-value store. */
public final class FleetKeys {
    /** Prefix that every instance watches. */
    public static final String FLEET = "cranberrybend/fleet/";
    /** Prefix of the entries of running instances, each under the lease of its instance. */
    public static final String INSTANCES = FLEET + "instances/";
    /** Instance that holds the duty lease; expires with that lease. */
    static final String HOLDER = FLEET + "duty/holder";
    /** Instances that held the duty lease recently, the latest first; does not expire. */
    static final String RECENT_HOLDERS = FLEET + "duty/recent-holders";

    /** Crash records that justify the quarantines in force. */
    public static final String CRASHES = "cranberrybend/quarantine/crashes";

    /** Prefix of the claims to probe quarantined prompt parts, each under a lease of its own. */
    public static final String PROBES = "cranberrybend/quarantine/probes/";

    /** Last window whose report the platform has accepted. */
    static final String REPORTED = "cranberrybend/usage/reported";

    private static final String COUNTS = "cranberrybend/usage/counts/";
    private static final String SEALED = "cranberrybend/usage/sealed/";

    private FleetKeys() {}

    static String countsPrefix(long window) {
        return COUNTS + padded(window) + "/";
    }

    /**
     * Returns the key of the counts of one incarnation of an instance in a window. After a write whose outcome is
     * unknown, the incarnation continues under its next generation, because the old write may still be executed over a
     * newer one.
     */
    static String counts(long window, String instance, long incarnation, int generation) {
        return countsPrefix(window) + instance + "/" + incarnation + "/" + generation;
    }

    static String instanceOf(String key) {
        return key.split("/")[4];
    }

    /** Returns the part of a key that all generations of one incarnation share. */
    static String incarnationPrefix(String key) {
        return key.substring(0, key.lastIndexOf('/'));
    }

    /** Returns whether a key holds counts; an instance writes no other keys on behalf of another one. */
    public static boolean isCounts(String key) {
        return key.startsWith(COUNTS);
    }

    static String allCounts() {
        return COUNTS;
    }

    static long windowOf(String key) {
        return Long.parseLong(key.substring(COUNTS.length(), key.indexOf('/', COUNTS.length())));
    }

    static String sealed(long window) {
        return SEALED + padded(window);
    }

    /** Pads the number of a window so that keys sort by time. */
    private static String padded(long window) {
        return String.format(Locale.ROOT, "%012d", window);
    }
}
