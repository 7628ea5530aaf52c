package spurroad.program;

import java.util.ArrayDeque;
import java.util.Deque;
import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/**
 * Ends the services that tests leave behind, one test later, after the cleanup of their test. Each service
 * checks the processor time of all threads at least ten times a second: two hundred services took five cores,
 * and tests with time limits failed.
 */
public final class LeftServices implements IInvokedMethodListener {
    private record Left(ProxyService service, long test) {}

    private static final Deque<Left> LEFT = new ArrayDeque<>();
    private static long tests;

    /** Registers a service of the current test. */
    static synchronized ProxyService add(ProxyService service) {
        LEFT.add(new Left(service, tests));
        return service;
    }

    @Override
    public void afterInvocation(IInvokedMethod method, ITestResult result) {
        if (method.isTestMethod()) {
            endFormer();
        }
    }

    private static synchronized void endFormer() {
        while (!LEFT.isEmpty() && LEFT.peek().test < tests) {
            LEFT.poll().service.close();
        }
        tests++;
    }
}
