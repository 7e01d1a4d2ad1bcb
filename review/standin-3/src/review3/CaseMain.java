package review3;

import java.nio.file.Path;

/** Runs one case: {@code CaseMain NUMBER DIRECTORY}. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
public final class CaseMain {
    /** A case; returns whether the rule was broken. */
    interface Case {
        boolean run(Fleet fleet, Record record, boolean trouble) throws Exception;
    }

    private CaseMain() {}

    public static void main(String[] arguments) throws Exception {
        String name = arguments[0];
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record.line("case %s, %s the disruption", name, trouble ? "with" : "without");
        Case each = (Case) Class.forName("review3." + name).getDeclaredConstructor().newInstance();
        int status = 2;
        Thread limit = new Thread(() -> {
            Worker.pause(116_000);
            record.line("the time limit of the script is over");
            record.save();
            System.exit(2);
        });
        limit.setDaemon(true);
        limit.start();
        try {
            int instances = (int) Class.forName("review3." + name).getDeclaredField("INSTANCES").get(null);
            try (Fleet fleet = new Fleet(instances, record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                    for (Entry entry : fleet.entries) {
                        try {
                            entry.close();
                        } catch (Exception e) {
                            // The process has ended.
                        }
                    }
                }));
                status = each.run(fleet, record, trouble) ? 1 : 0;
            }
        } catch (Throwable e) {
            record.line("the case could not run: %s", e);
            e.printStackTrace();
            status = 2;
        }
        record.line("exit status %d: %s", status, status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "no result");
        record.save();
        System.exit(status);
    }
}
