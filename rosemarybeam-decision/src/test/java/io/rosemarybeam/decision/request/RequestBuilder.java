package io.rosemarybeam.decision.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.decision.request.RequestInput.Precedence;
import io.rosemarybeam.decision.request.RequestInput.RequestArrived;

/** Builds arriving requests; by default an idempotent request of a customer to the model service. */
final class RequestBuilder {
    private final String id;
    private ServiceName service = CoreFixture.MODEL;
    private Precedence precedence = Precedence.CUSTOMER;
    private Optional<TrainerName> trainer = Optional.empty();
    private boolean idempotent = true;
    private Optional<IdempotencyKey> key = Optional.empty();
    private String fingerprint;
    private List<Long> prefixHashes = List.of();
    private int expectedTokens = 10;
    private long deadline = 30_000;
    private Optional<WeightVersion> minimumVersion = Optional.empty();
    private Set<EndpointId> avoid = Set.of();

    RequestBuilder(String id) {
        this.id = id;
        this.fingerprint = "fingerprint-" + id;
    }

    RequestBuilder service(ServiceName value) {
        service = value;
        return this;
    }

    RequestBuilder training(String trainerName) {
        precedence = Precedence.TRAINING;
        trainer = Optional.of(TrainerName.of(trainerName));
        return this;
    }

    RequestBuilder notIdempotent() {
        idempotent = false;
        return this;
    }

    RequestBuilder key(String value) {
        key = Optional.of(IdempotencyKey.of(value));
        return notIdempotent();
    }

    RequestBuilder fingerprint(String value) {
        fingerprint = value;
        return this;
    }

    RequestBuilder prefix(Long... hashes) {
        prefixHashes = List.of(hashes);
        return this;
    }

    RequestBuilder tokens(int value) {
        expectedTokens = value;
        return this;
    }

    RequestBuilder deadline(long value) {
        deadline = value;
        return this;
    }

    RequestBuilder minimumVersion(long value) {
        minimumVersion = Optional.of(WeightVersion.of(value));
        return this;
    }

    RequestBuilder avoid(String endpoint) {
        avoid = Set.of(EndpointId.of(endpoint));
        return this;
    }

    RequestArrived build() {
        return new RequestArrived(
                RequestId.of(id),
                service,
                precedence,
                trainer,
                idempotent,
                key,
                Fingerprint.of(fingerprint),
                prefixHashes,
                expectedTokens,
                deadline,
                minimumVersion,
                avoid);
    }
}
