package org.cranberrybend.standins.platform;

import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.lifecycle.DaemonProgram;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.settings.SettingsLoader;

/** Main class of the stand-in platform. */
public final class PlatformMain extends DaemonProgram<PlatformSettings> {
    private PlatformMain() {
        super(
                "cranberrybend-standin-platform",
                new SettingsLoader<>(PlatformSettings.class, "platform-settings.schema.json"));
    }

    /** Starts the platform and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new PlatformMain().run(arguments, System.out, System.err).number());
    }

    @Override
    protected Service createService(PlatformSettings settings) {
        return new PlatformService(settings, TimeSource.system());
    }
}
