package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"cometrack/internal/source/platform"
	"cometrack/internal/wire"
)

// PlatformLimits are the resource limits that the platform sets for the process.
type PlatformLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// Platform is the configuration that the platform gives a sender.
type Platform struct {
	Name        string
	Listen      string
	Discovery   string
	Console     string // address of the console; empty for none
	StateDir    string
	Seed        uint64
	Limits      PlatformLimits
	InitialList platform.List
	Deployment  wire.Deployment

	text []byte // of the file
}

// StartPlatform is [LoadPlatform] for the start of the process. If the file can't be used, it
// returns the saved copy of the last usable one, as a sender that did not restart would still
// use that, and the reason. err is set if there is no usable copy either.
func StartPlatform() (cfg *Platform, reason, err error) {
	cfg, err = LoadPlatform()
	saved, savedErr := os.ReadFile(savedPath(os.Getenv("BALANCER_STATE")))
	if savedErr != nil {
		return cfg, nil, err
	}
	last, savedErr := ParsePlatform(saved)
	if savedErr == nil {
		savedErr = last.applyEnvironment()
	}
	if savedErr != nil {
		return cfg, nil, err
	}
	if err == nil {
		err = last.CheckReload(cfg)
	}
	if err != nil {
		return last, err, nil
	}
	return cfg, nil, nil
}

// maxSavedBytes is the maximum size of a file that [Platform.Save] saves.
const maxSavedBytes = 60 << 10

// SavedSpaceBytes is the disk space that the saved file takes at most: twice its maximum size,
// since the old and the new copy exist together while it is replaced.
const SavedSpaceBytes = 2 * (64 << 10)

// savedPath returns the path of the saved file in a state folder.
func savedPath(state string) string { return filepath.Join(state, "kept", "config.json") }

// Save stores a copy of the file for a later start that finds an unusable one. It returns an
// error and removes the old copy if the file is over maxSavedBytes.
func (p *Platform) Save() error {
	path := savedPath(p.StateDir)
	if len(p.text) > maxSavedBytes {
		return errors.Join(os.RemoveAll(path),
			fmt.Errorf("a configuration of %d bytes is not saved: the limit is %d bytes", len(p.text), maxSavedBytes))
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", p.text, 0o600); err != nil {
		return errors.Join(err, os.Remove(path+".new"))
	}
	return os.Rename(path+".new", path)
}

// LoadPlatform reads the file that BALANCER_CONFIG names, and the environment.
func LoadPlatform() (*Platform, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read config: %w", err)
	}
	cfg, err := ParsePlatform(text)
	if err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	return cfg, cfg.applyEnvironment()
}

// applyEnvironment sets the values that the environment has, and checks the addresses.
func (cfg *Platform) applyEnvironment() error {
	cfg.StateDir = os.Getenv("BALANCER_STATE")
	for name, field := range map[string]*string{"BALANCER_NAME": &cfg.Name, "BALANCER_LISTEN": &cfg.Listen,
		"BALANCER_CONSOLE": &cfg.Console} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
	if cfg.Discovery == "" { // the file comes first: it may have been replaced since the start
		cfg.Discovery = os.Getenv("BALANCER_DISCOVERY")
	}
	if cfg.StateDir == "" || cfg.Listen == "" || cfg.Discovery == "" {
		return errors.New("BALANCER_STATE, BALANCER_LISTEN and BALANCER_DISCOVERY must be set")
	}
	if _, _, err := net.SplitHostPort(cfg.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if cfg.Console != "" {
		if _, _, err := net.SplitHostPort(cfg.Console); err != nil {
			return fmt.Errorf("console: %w", err)
		}
	}
	return nil
}

// ParsePlatform reads the text of the configuration file.
func ParsePlatform(text []byte) (*Platform, error) {
	var in struct {
		Name        string          `json:"name"`
		Listen      string          `json:"listen"`
		Discovery   string          `json:"discovery"`
		Console     string          `json:"console"`
		Seed        string          `json:"seed"`
		Limits      PlatformLimits  `json:"limits"`
		InitialList platform.List   `json:"known"`
		Settings    json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, err
	}
	deploy, err := wire.ParseDeployment(in.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	cfg := &Platform{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Console: in.Console,
		Limits: in.Limits, InitialList: in.InitialList, Deployment: deploy, text: text}
	if in.Seed != "" {
		if cfg.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	return cfg, nil
}
