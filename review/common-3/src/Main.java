import java.util.Map;

/** Runs a case: the exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Main {
    private static final int COULD_NOT_RUN = 2;

    private Main() {}

    /** A case; its arguments are the project's directory and the file for the record. */
    interface Case {
        int run(String[] arguments) throws Exception;
    }

    public static void main(String[] arguments) {
        Map<String, Case> cases = Map.of(
                "DeafHost", new DeafHost()::run,
                "StaleWatch", new StaleWatch()::run,
                "RepeatedStream", new RepeatedStream()::run);
        int code = COULD_NOT_RUN;
        try {
            code = cases.get(arguments[0]).run(new String[] {arguments[1], arguments[2]});
        } catch (Exception | Error failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }
}
