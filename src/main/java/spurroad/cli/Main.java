package spurroad.cli;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import spurroad.wirehost.WireException;
import spurroad.wirehost.WireHost;

/** The command line. */
public final class Main {
    private static final String USAGE = "usage: spurroad wirehost";

    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println(USAGE);
            System.exit(2);
        }
        try {
            DataInputStream in = new DataInputStream(new BufferedInputStream(System.in, 1 << 16));
            new WireHost(in, System.out).run();
        } catch (WireException e) {
            System.err.println("spurroad: " + e.getMessage());
            System.exit(1);
        }
    }
}
