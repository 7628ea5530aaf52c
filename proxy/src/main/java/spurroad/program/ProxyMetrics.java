package spurroad.program;

import java.util.List;
import java.util.stream.Stream;
import spurroad.admin.StatsdExport;
import spurroad.admin.StatsdExport.Metric;
import spurroad.admin.StatsdExport.MetricType;
import spurroad.model.AdminStatus.AwaitedEvent;
import spurroad.routing.LoadBalancerThread;
import spurroad.routing.OutcomeStatistics;
import spurroad.transport.Clock;

/** The metrics of one proxy, with the names and in the order of the operators' documentation. */
final class ProxyMetrics {
    private ProxyMetrics() {}

    static StatsdExport export(LoadBalancerThread loadBalancer, SettingsReload reload, Clock clock) {
        OutcomeStatistics outcomes = loadBalancer.outcomeStatistics();
        return new StatsdExport().metrics(() -> outcomesByClass(outcomes))
            .counter("forwards", outcomes::forwards)
            .gauge("outstanding", outcomes::outstanding)
            .gauge("discovered", () -> loadBalancer.adminStatus().listedEndpoints())
            .gauge("ejected", () -> loadBalancer.adminStatus().unavailableAt(clock.now()))
            .counter("rule_violations", loadBalancer::ruleViolations)
            .counter("sighup_applied", reload::appliedCount)
            .counter("sighup_rejected", reload::rejectedCount)
            .gauge("ejected_awaiting_probe", () -> countAwaiting(loadBalancer, AwaitedEvent.LOAD_PROBE_REPLY))
            .gauge("ejected_on_trial", () -> countAwaiting(loadBalancer, AwaitedEvent.TRIAL_SUCCESS));
    }

    private static int countAwaiting(LoadBalancerThread loadBalancer, AwaitedEvent event) {
        return loadBalancer.adminStatus().awaiting(event);
    }

    private static List<Metric> outcomesByClass(OutcomeStatistics outcomes) {
        return outcomes.byClass().entrySet().stream()
            .flatMap(entry -> outcomesOfClass(entry.getKey(), entry.getValue())).toList();
    }

    private static Stream<Metric> outcomesOfClass(String requestClass, OutcomeStatistics.ClassCounts counts) {
        return Stream.of(outcome(requestClass, "succeeded", counts.succeeded()),
            outcome(requestClass, "declined", counts.declined()),
            outcome(requestClass, "aborted", counts.aborted()));
    }

    private static Metric outcome(String requestClass, String outcome, long count) {
        return new Metric("results." + requestClass + "." + outcome, count, MetricType.COUNTER);
    }
}
