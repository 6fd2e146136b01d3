package io.heatherloft.daemon;

import io.heatherloft.peer.PeerNetwork;
import io.heatherloft.ports.backend.BackendClient;
import io.heatherloft.ports.backend.EngineClient;
import io.heatherloft.ports.hosts.HostList;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.rating.RatingService;
import io.heatherloft.ports.store.KeyValueStore;
import java.util.Random;

/**
 * The interfaces through which a host accesses the event loop, the network and other external services; tests supply
 * fakes. Confined to the event loop thread.
 */
public record Ports(
        Loop loop,
        Random random,
        KeyValueStore store,
        PeerNetwork peers,
        HostList hosts,
        BackendClient backends,
        RatingService ratings,
        EngineClient engines) {}
