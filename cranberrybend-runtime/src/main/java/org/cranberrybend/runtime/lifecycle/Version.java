package org.cranberrybend.runtime.lifecycle;

/** Version of this build. */
public final class Version {
    private static final String DEVELOPMENT = "0.1.0-SNAPSHOT";

    private Version() {}

    /** Returns the version in the manifest, or the development version when run from class directories. */
    public static String current() {
        String version = Version.class.getPackage().getImplementationVersion();
        return version == null ? DEVELOPMENT : version;
    }
}
