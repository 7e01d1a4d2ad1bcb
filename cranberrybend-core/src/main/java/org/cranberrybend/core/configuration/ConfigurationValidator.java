package org.cranberrybend.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.account.ClientAccount;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Template;

/** Validates a whole configuration before it is accepted. A configuration with any error is refused as a whole. */
public final class ConfigurationValidator {
    private static final double MAX_GUARANTEED_SHARE_SUM = 0.8;
    // Without a guaranteed share, a class would starve while higher tiers use the whole capacity.
    private static final double MIN_GUARANTEED_SHARE = 0.01;

    private ConfigurationValidator() {}

    /** Returns all errors of the configuration; the list is empty if it is valid. */
    public static List<ConfigurationError> validate(ConfigurationState state) {
        ConfigurationView view = new ConfigurationView(state);
        List<ConfigurationError> errors = new ArrayList<>(view.errors());
        view.templates().forEach((name, template) -> checkTemplate(view, name, template, errors));
        view.accounts().forEach((name, account) -> checkAccount(view, name, account, errors));
        checkClasses(view, errors);
        return List.copyOf(errors);
    }

    private static void checkTemplate(
            ConfigurationView view, String name, Template template, List<ConfigurationError> errors) {
        String path = "template/" + name;
        for (String model : template.models()) {
            if (!view.models().containsKey(model)) {
                errors.add(new ConfigurationError(path + ".models", "model \"" + model + "\" does not exist"));
            }
        }
        for (String route : template.routes()) {
            if (!view.routes().containsKey(route)) {
                errors.add(new ConfigurationError(path + ".routes", "route \"" + route + "\" does not exist"));
            }
        }
    }

    private static void checkAccount(
            ConfigurationView view, String name, ClientAccount account, List<ConfigurationError> errors) {
        if (view.template(account.template()).isEmpty()) {
            errors.add(new ConfigurationError(
                    "account/" + name + ".template", "template \"" + account.template() + "\" does not exist"));
        }
    }

    private static void checkShare(String template, RequestClass requestClass, List<ConfigurationError> errors) {
        if (requestClass.guaranteedShareRatio() < MIN_GUARANTEED_SHARE) {
            errors.add(new ConfigurationError(
                    "template/" + template + ".request_classes." + requestClass.name() + ".guaranteed_share_ratio",
                    "must be at least " + MIN_GUARANTEED_SHARE + ": " + requestClass.guaranteedShareRatio()));
        }
    }

    /**
     * Classes of the same name in several templates are one class to the scheduler, so their definitions must be equal.
     */
    private static void checkClasses(ConfigurationView view, List<ConfigurationError> errors) {
        Map<String, RequestClass> classes = new HashMap<>();
        view.templates().forEach((name, template) -> {
            for (RequestClass each : template.requestClasses()) {
                checkShare(name, each, errors);
                RequestClass earlier = classes.putIfAbsent(each.name(), each);
                if (earlier != null && !earlier.equals(each)) {
                    errors.add(new ConfigurationError(
                            "template/" + name + ".request_classes",
                            "class \"" + each.name() + "\" differs from its definition in another template"));
                }
            }
        });
        double shareSum = classes.values().stream()
                .mapToDouble(RequestClass::guaranteedShareRatio)
                .sum();
        if (shareSum > MAX_GUARANTEED_SHARE_SUM) {
            errors.add(new ConfigurationError(
                    "template/*.request_classes",
                    "the guaranteed shares of all classes add up to " + shareSum + "; the largest allowed sum is "
                            + MAX_GUARANTEED_SHARE_SUM));
        }
    }
}
