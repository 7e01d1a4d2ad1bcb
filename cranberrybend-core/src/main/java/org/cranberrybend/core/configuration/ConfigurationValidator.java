package org.cranberrybend.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.account.ClientAccount;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Template;

/** Checks a whole configuration before it is accepted; a configuration with one fault is refused as a whole. */
public final class ConfigurationValidator {
    private static final double GUARANTEED_SHARE_SUM_MAX = 0.8;
    // A class without any guaranteed share would starve while higher tiers fill the capacity.
    private static final double GUARANTEED_SHARE_MIN = 0.01;

    private ConfigurationValidator() {}

    /** Returns every fault of the configuration; an empty list means that it may be accepted. */
    public static List<ConfigurationError> validate(ConfigurationState state) {
        ConfigurationView view = new ConfigurationView(state);
        List<ConfigurationError> faults = new ArrayList<>(view.errors());
        view.templates().forEach((name, template) -> checkTemplate(view, name, template, faults));
        view.accounts().forEach((name, account) -> checkAccount(view, name, account, faults));
        checkClasses(view, faults);
        return List.copyOf(faults);
    }

    private static void checkTemplate(
            ConfigurationView view, String name, Template template, List<ConfigurationError> faults) {
        String path = "template/" + name;
        for (String model : template.models()) {
            if (!view.models().containsKey(model)) {
                faults.add(new ConfigurationError(path + ".models", "model \"" + model + "\" does not exist"));
            }
        }
        for (String route : template.routes()) {
            if (!view.routes().containsKey(route)) {
                faults.add(new ConfigurationError(path + ".routes", "route \"" + route + "\" does not exist"));
            }
        }
    }

    private static void checkAccount(
            ConfigurationView view, String name, ClientAccount account, List<ConfigurationError> faults) {
        if (view.template(account.template()).isEmpty()) {
            faults.add(new ConfigurationError(
                    "account/" + name + ".template", "template \"" + account.template() + "\" does not exist"));
        }
    }

    private static void checkShare(String template, RequestClass requestClass, List<ConfigurationError> faults) {
        if (requestClass.guaranteedShareRatio() < GUARANTEED_SHARE_MIN) {
            faults.add(new ConfigurationError(
                    "template/" + template + ".request_classes." + requestClass.name() + ".guaranteed_share_ratio",
                    "must be at least " + GUARANTEED_SHARE_MIN + ": " + requestClass.guaranteedShareRatio()));
        }
    }

    /** Classes are shared by name across templates, so their tier and share must agree. */
    private static void checkClasses(ConfigurationView view, List<ConfigurationError> faults) {
        Map<String, RequestClass> classes = new HashMap<>();
        view.templates().forEach((name, template) -> {
            for (RequestClass each : template.requestClasses()) {
                checkShare(name, each, faults);
                RequestClass earlier = classes.putIfAbsent(each.name(), each);
                if (earlier != null && !earlier.equals(each)) {
                    faults.add(new ConfigurationError(
                            "template/" + name + ".request_classes",
                            "class \"" + each.name() + "\" differs from its definition in another template"));
                }
            }
        });
        double shareSum = classes.values().stream()
                .mapToDouble(RequestClass::guaranteedShareRatio)
                .sum();
        if (shareSum > GUARANTEED_SHARE_SUM_MAX) {
            faults.add(new ConfigurationError(
                    "template/*.request_classes",
                    "the guaranteed shares of all classes add up to " + shareSum + "; the largest allowed sum is "
                            + GUARANTEED_SHARE_SUM_MAX));
        }
    }
}
