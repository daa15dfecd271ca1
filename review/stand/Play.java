import java.nio.file.Path;

/** Runs one case: exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Play {
    private static final int NOT_RUN = 2;

    /** A case; returns the number with which the process exits. */
    interface Case {
        int play(Site site, boolean trouble) throws Exception;
    }

    private Play() {}

    static void run(String folder, Case each) {
        int status;
        try (Site site = new Site(Path.of(folder))) {
            status = each.play(site, !"0".equals(System.getenv("TROUBLE")));
        } catch (Throwable failure) {
            failure.printStackTrace();
            status = NOT_RUN;
        }
        System.exit(status);
    }
}
