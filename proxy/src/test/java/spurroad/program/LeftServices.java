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
    private record LeftService(ProxyService service, long testNumber) {}

    private static final Deque<LeftService> LEFT_SERVICES = new ArrayDeque<>();
    private static long finishedTests;

    /** Registers a service of the current test. */
    static synchronized ProxyService add(ProxyService service) {
        LEFT_SERVICES.add(new LeftService(service, finishedTests));
        return service;
    }

    @Override
    public void afterInvocation(IInvokedMethod method, ITestResult result) {
        if (method.isTestMethod()) {
            closeServicesOfEarlierTests();
        }
    }

    private static synchronized void closeServicesOfEarlierTests() {
        while (!LEFT_SERVICES.isEmpty() && LEFT_SERVICES.peek().testNumber < finishedTests) {
            LEFT_SERVICES.poll().service.close();
        }
        finishedTests++;
    }
}
