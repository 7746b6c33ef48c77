package main

import (
	"fmt"
	"net"
	"time"

	"saffronyard.example/saffronyard/internal/calls"
	"saffronyard.example/saffronyard/internal/features"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/sender"
)

// applyFeatures sets the features of the operators' file in the sender's configuration.
func applyFeatures(f *features.Features, c *sender.Config) error {
	if f.Quiet != nil {
		c.Settings.HibernateAfter = f.Quiet.FoldAfter.D()
	}
	if e := f.Events; e != nil {
		c.Events = &sender.Events{Rules: e.Mapping(), MaxBatchEvents: e.BatchEvents, MaxBatchBytes: e.BatchBytes, Retention: e.Remember.D(), MaxRemembered: e.RememberMost}
	}
	if k := f.Knowledge; k != nil {
		c.Knowledge = &sender.Knowledge{Interval: k.Every.D(), MaxBytes: k.Bytes}
	}
	if d := f.Delivery; d != nil {
		c.Delivery = &calls.Delivery{Source: d.Source, Type: d.Type}
		for _, t := range d.To {
			c.Delivery.Targets = append(c.Delivery.Targets, calls.Target(t))
		}
	}
	if p := f.Peers; p != nil {
		keys, err := p.Keys()
		if err != nil {
			return err
		}
		host, _, err := net.SplitHostPort(c.Listen)
		if err != nil {
			return fmt.Errorf("peers: listen address: %w", err)
		}
		c.Peers = &peers.Config{Name: c.Name, Incarnation: uint64(time.Now().UnixMicro()), Cluster: p.Cluster,
			Listen: peers.WithHost(p.Listen, host), Exchange: peers.WithHost(p.Exchange, host),
			Seeds: p.Seeds, Keys: keys, MaxFollowed: p.Follow, MaxFacts: p.Facts, Routes: p.Reaches()}
	}
	return nil
}
