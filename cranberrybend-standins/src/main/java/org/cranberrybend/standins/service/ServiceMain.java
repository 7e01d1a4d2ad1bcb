package org.cranberrybend.standins.service;

import org.cranberrybend.runtime.lifecycle.DaemonProgram;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.settings.SettingsLoader;

/** Main class of the stand-in service. */
public final class ServiceMain extends DaemonProgram<ServiceSettings> {
    private static final int CRASH_EXIT_CODE = 137;

    private ServiceMain() {
        super(
                "cranberrybend-standin-service",
                new SettingsLoader<>(ServiceSettings.class, "service-settings.schema.json"));
    }

    /** Starts the service and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new ServiceMain().run(arguments, System.out, System.err).number());
    }

    @Override
    protected Service createService(ServiceSettings settings) {
        return new PlainService(settings, () -> Runtime.getRuntime().halt(CRASH_EXIT_CODE));
    }
}
