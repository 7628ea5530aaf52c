package spurroad.testbed.soak;

import java.io.IOException;

/** Several signals to a proxy in quick succession, in an order that the detail of a fault selects. */
final class SignalSeries {
    /** Sends signals to a process. */
    interface Sender {
        void sendTo(RunningProxy process) throws IOException, InterruptedException;
    }

    private static final int ORDERS = 6;
    private static final int RELOADS = 3;
    private static final long MAX_GAP_MS = 100;
    /** Long enough for a start to have begun to serve at the upper end. */
    private static final long MAX_START_MS = 2_500;

    private final ProxyHost proxy;
    private final int order;
    private final double position; // from 0 to 1: how far apart the signals are

    /**
     * Creates a series.
     *
     * @param detail from 0 to 1
     */
    SignalSeries(ProxyHost proxy, double detail) {
        this.proxy = proxy;
        order = (int) (detail * ORDERS);
        position = detail * ORDERS - order;
    }

    /** Sends the signals, and leaves the proxy with a process that serves. */
    void send(StartCondition condition) throws IOException, InterruptedException {
        switch (order) {
            case 0 -> reloadRepeatedly();
            case 1 -> proxy.restartWithSignals(condition, process -> {
                process.signal("TERM");
                pause();
                process.signal("TERM");
            });
            case 2 -> proxy.restartWithSignals(condition, process -> {
                proxy.reload();
                pause();
                process.signal("TERM");
                pause();
                process.signal("HUP");
            });
            case 3 -> proxy.restartWithSignals(condition, process -> {
                process.signal("STOP");
                process.signal("TERM");
                pause();
                process.signal("CONT");
                process.signal("HUP");
            });
            case 4 -> proxy.restartWithEndWhileStarting(condition, (long) (position * MAX_START_MS));
            default -> proxy.endWhileSuccessorStarts(condition, (long) (position * MAX_START_MS));
        }
    }

    private void reloadRepeatedly() throws IOException, InterruptedException {
        for (int i = 0; i < RELOADS; i++) {
            proxy.reload();
            pause();
        }
    }

    private void pause() throws InterruptedException {
        Thread.sleep((long) (position * MAX_GAP_MS));
    }
}
