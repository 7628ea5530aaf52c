package spurroad.testbed.model;

import java.util.List;
import java.util.function.ToDoubleFunction;
import spurroad.model.Effect;
import spurroad.testbed.scenario.Scenario.Customer;
import spurroad.testbed.scenario.Scenario.Load;
import spurroad.testbed.scenario.Scenario.Track;

/** Draws the class, tenant and key of each request. */
final class RequestFactory {
    private final Load load;
    private final RandomStream random;
    private final KeyDistribution keys;
    private long nextNumber;

    RequestFactory(Load load, RandomStream random, KeyDistribution keys) {
        this.load = load;
        this.random = random;
        this.keys = keys;
    }

    ClientRequest create(long dueNanos) {
        Track requestClass = draw(load.tracks(), Track::part);
        Customer tenant = draw(load.customers(), Customer::part);
        long number = nextNumber++;
        String idempotencyKey = requestClass.effect() == Effect.DEDUPLICATED
            ? "m" + Long.toHexString(number) : "";
        return new ClientRequest(number, dueNanos, requestClass, tenant, keys.nextKey(dueNanos),
            idempotencyKey);
    }

    /** Draws one of several choices by their probabilities, which add up to 1. */
    private <T> T draw(List<T> choices, ToDoubleFunction<T> probability) {
        double remaining = random.nextFraction();
        for (T choice : choices) {
            remaining -= probability.applyAsDouble(choice);
            if (remaining < 0) {
                return choice;
            }
        }
        return choices.get(choices.size() - 1); // only rounding errors lead here
    }
}
