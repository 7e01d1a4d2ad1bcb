package org.cranberrybend.entry.duty;

import java.util.Locale;

/** Keys of this program in the platform's store. */
public final class FleetKeys {
    /** Prefix of what every instance watches. */
    public static final String FLEET = "cranberrybend/fleet/";
    /** Prefix of the entries of running instances; each ends with its instance's lease. */
    public static final String INSTANCES = FLEET + "instances/";
    /** Instance that holds the duties at present; ends with its lease. */
    static final String HOLDER = FLEET + "duty/holder";
    /** Instances that took the duties last, the latest first; stays. */
    static final String RECENT_HOLDERS = FLEET + "duty/recent-holders";

    /** Last window whose report the platform has taken. */
    static final String REPORTED = "cranberrybend/usage/reported";

    private static final String COUNTS = "cranberrybend/usage/counts/";
    private static final String SEALED = "cranberrybend/usage/sealed/";

    private FleetKeys() {}

    static String countsPrefix(long window) {
        return COUNTS + digits(window) + "/";
    }

    /**
     * Returns the key of the counts of one run of one instance in a window. After a write without an answer the run
     * goes on under its next generation, because that write may still be carried out.
     */
    static String counts(long window, String instance, long incarnation, int generation) {
        return countsPrefix(window) + instance + "/" + incarnation + "/" + generation;
    }

    static String instanceOfCounts(String key) {
        return key.split("/")[4];
    }

    /** Returns what the generations of one run of one instance have in common. */
    static String runOfCounts(String key) {
        return key.substring(0, key.lastIndexOf('/'));
    }

    /** Returns whether a key is one of counts, which an instance may write for another one. */
    public static boolean isCounts(String key) {
        return key.startsWith(COUNTS);
    }

    static String allCounts() {
        return COUNTS;
    }

    static long windowOfCounts(String key) {
        return Long.parseLong(key.substring(COUNTS.length(), key.indexOf('/', COUNTS.length())));
    }

    static String sealed(long window) {
        return SEALED + digits(window);
    }

    /** Pads a window so that keys sort by time. */
    private static String digits(long window) {
        return String.format(Locale.ROOT, "%012d", window);
    }
}
