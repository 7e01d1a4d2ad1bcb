package org.cranberrybend.controller;

import org.cranberrybend.runtime.lifecycle.DaemonProgram;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.settings.SettingsLoader;

/** Main class of the controller program. */
public final class ControllerMain extends DaemonProgram<ControllerSettings> {
    private ControllerMain() {
        super(
                "cranberrybend-controller",
                new SettingsLoader<>(ControllerSettings.class, "controller-settings.schema.json"));
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new ControllerMain().run(arguments, System.out, System.err).number());
    }

    @Override
    protected Service createService(ControllerSettings settings) {
        return new ControllerService(settings);
    }
}
