package spurroad.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** The operators of a run: one thread for each proxy, which does one operation after the other. */
final class OperatorThreads {
    /** The longest operation takes less. */
    private static final long OPERATION_TIMEOUT_SECONDS = 40;

    /** An operation on a proxy's processes. */
    interface Operation {
        void run(ProxyHost proxy) throws IOException, InterruptedException;
    }

    private final InvariantChecker checker;
    private final List<ProxyHost> proxies;
    private final List<ExecutorService> executors = new ArrayList<>();

    OperatorThreads(InvariantChecker checker, List<ProxyHost> proxies) {
        this.checker = checker;
        this.proxies = proxies;
        for (ProxyHost proxy : proxies) {
            executors.add(Executors.newSingleThreadExecutor(work -> {
                Thread thread = new Thread(work, "operator of " + proxy);
                thread.setDaemon(true);
                return thread;
            }));
        }
    }

    /** Schedules an operation after those that were scheduled before for the proxy. */
    void schedule(int proxy, Operation operation) {
        executors.get(proxy).submit(() -> run(proxies.get(proxy), operation));
    }

    private void run(ProxyHost proxy, Operation operation) {
        try {
            operation.run(proxy);
        } catch (IOException | RuntimeException e) {
            checker.addViolation(Invariant.ALIVE, "the soak can't operate " + proxy + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the scheduled operations; no others are accepted any more. */
    void finish() throws InterruptedException {
        for (ExecutorService executor : executors) {
            executor.shutdown();
            executor.awaitTermination(OPERATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    void shutdownNow() {
        executors.forEach(ExecutorService::shutdownNow);
    }
}
