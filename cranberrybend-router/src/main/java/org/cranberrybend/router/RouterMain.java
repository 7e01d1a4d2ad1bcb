package org.cranberrybend.router;

import org.cranberrybend.runtime.lifecycle.DaemonProgram;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.settings.SettingsLoader;

/** The program {@code cranberrybend-router}. */
public final class RouterMain extends DaemonProgram<RouterSettings> {
    private RouterMain() {
        super("cranberrybend-router", settingsLoader());
    }

    /** Runs the router until it is stopped. */
    public static void main(String[] arguments) {
        System.exit(new RouterMain().run(arguments, System.out, System.err).number());
    }

    /** Returns the loader of the router's settings. */
    static SettingsLoader<RouterSettings> settingsLoader() {
        return new SettingsLoader<>(RouterSettings.class, RouterSettings.SCHEMA);
    }

    @Override
    protected Service createService(RouterSettings settings) {
        return new RouterProcess(settings);
    }
}
