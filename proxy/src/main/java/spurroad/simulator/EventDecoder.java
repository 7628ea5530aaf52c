package spurroad.simulator;

import java.util.ArrayList;
import java.util.List;
import spurroad.model.CacheKey;
import spurroad.model.CellId;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;
import spurroad.model.ZoneId;
import spurroad.protocol.EndpointList;
import spurroad.protocol.PeerUpdateCodec;
import spurroad.protocol.ProtocolException;

/**
 * Decodes records into events of one instance, whose settings name the columns of load reports. For a record
 * that is too short or has an invalid count, {@link EventFields} throws an exception.
 */
final class EventDecoder {
    private static final int ENDPOINT_BYTES = 1 + 1 + 8 + 4 + 6 + 1 + 2;
    private static final int SCOPE_CHANGES = 0;
    private static final int SCOPE_FAILURE = 3;
    private static final int PHASE_REMOVED = 1;
    private static final int PHASE_READY = 3;
    private static final int HAS_COST_HINT_FLAG = 1;
    private static final int IS_WRITE_FLAG = 4;

    private final List<String> reportColumns;
    private final EndpointList.EndpointNames endpointNames;

    EventDecoder(List<String> reportColumns, EndpointList.EndpointNames endpointNames) {
        this.reportColumns = reportColumns;
        this.endpointNames = endpointNames;
    }

    /** Decodes the fields after the instance number. */
    SimulatorEvent decode(EventCode code, EventFields fields) {
        return switch (code) {
            case ENDPOINT_UPDATE -> endpointUpdate(fields);
            case REQUEST -> request(fields);
            case ATTEMPT_END -> attemptEnd(fields);
            case CLIENT_DISCONNECT -> new SimulatorEvent.ClientDisconnect(new RequestId(fields.i64()));
            case TIMER -> new SimulatorEvent.Timer(fields.i64());
            case LOAD_PROBE_END -> loadProbeEnd(fields);
            case PEER_MESSAGE -> peerMessage(fields);
            case LAUNCH, POWER_OFF ->
                throw new IllegalStateException(code + " is not an event of an instance");
        };
    }

    private SimulatorEvent endpointUpdate(EventFields fields) {
        int scope = fields.u8();
        fields.i64(); // list revision, not used
        List<Endpoint> endpoints = endpoints(fields);
        return scope == SCOPE_FAILURE ? new SimulatorEvent.DiscoveryFailure()
            : new SimulatorEvent.EndpointUpdate(endpoints, scope != SCOPE_CHANGES);
    }

    private List<Endpoint> endpoints(EventFields fields) {
        int count = fields.count(ENDPOINT_BYTES);
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            endpoints.add(endpoint(fields));
        }
        return endpoints;
    }

    private Endpoint endpoint(EventFields fields) {
        EndpointKindId kind = new EndpointKindId(fields.u8());
        ZoneId zone = new ZoneId(fields.u8());
        long startedAtNanos = fields.timeNanos();
        double weight = endpointNames.weight(fields.f32());
        EndpointId id = fields.endpointId();
        EndpointPhase phase = switch (fields.u8()) {
            case PHASE_REMOVED -> EndpointPhase.REMOVED;
            case PHASE_READY -> EndpointPhase.READY;
            default -> EndpointPhase.DRAINING;
        };
        CellId cell = new CellId(fields.u16());
        return new Endpoint(id, kind, zone, cell, startedAtNanos, weight, phase);
    }

    private static SimulatorEvent request(EventFields fields) {
        RequestId id = new RequestId(fields.i64());
        TenantId tenant = new TenantId(fields.i32());
        RequestClassId requestClass = new RequestClassId(fields.u16());
        int flags = fields.u8();
        fields.f32(); // not used
        long costNanos = fields.durationNanos();
        CacheKey key = new CacheKey(fields.i64());
        long timeoutNanos = fields.durationNanos();
        boolean isWrite = (flags & IS_WRITE_FLAG) != 0;
        long costHintNanos = (flags & HAS_COST_HINT_FLAG) != 0 ? costNanos : 0;
        return new SimulatorEvent.Request(id, requestClass, tenant, key, isWrite, costHintNanos,
            timeoutNanos);
    }

    private SimulatorEvent attemptEnd(EventFields fields) {
        RequestId id = new RequestId(fields.i64());
        boolean isFinal = fields.u8() != 0;
        int attempt = fields.u8();
        fields.i32(); // not used
        fields.endpointId(); // not used: the load balancer identifies the endpoint by the attempt
        fields.u8(); // not used
        Outcome outcome = fields.outcome();
        LoadReport load = fields.loadReport(reportColumns);
        return new SimulatorEvent.AttemptEnd(id, attempt, outcome, load, isFinal);
    }

    private SimulatorEvent loadProbeEnd(EventFields fields) {
        EndpointId endpoint = fields.endpointId();
        Outcome outcome = fields.outcome();
        fields.i32(); // not used
        return new SimulatorEvent.LoadProbeEnd(endpoint, outcome, fields.loadReport(reportColumns));
    }

    private static SimulatorEvent peerMessage(EventFields fields) {
        fields.u16(); // not used
        byte[] message = fields.message();
        try {
            return new SimulatorEvent.PeerMessage(PeerUpdateCodec.decode(message));
        } catch (ProtocolException e) {
            return new SimulatorEvent.MalformedPeerMessage();
        }
    }
}
