package org.cranberrybend.standins.engine;

import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.lifecycle.DaemonProgram;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.settings.SettingsLoader;

/** Main class of the stand-in engine. */
public final class EngineMain extends DaemonProgram<EngineSettings> {
    private static final int CRASH_EXIT_CODE = 137;

    private EngineMain() {
        super(
                "cranberrybend-standin-engine",
                new SettingsLoader<>(EngineSettings.class, "engine-settings.schema.json"));
    }

    /** Starts the engine and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new EngineMain().run(arguments, System.out, System.err).number());
    }

    @Override
    protected Service createService(EngineSettings settings) {
        return new EngineService(
                settings, TimeSource.system(), () -> Runtime.getRuntime().halt(CRASH_EXIT_CODE));
    }
}
