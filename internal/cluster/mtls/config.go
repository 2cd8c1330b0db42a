package mtls

import (
	"net/netip"

	"fernvane/internal/config/tomlfile"
)

// KeysFromConfig loads the keys from the files that a configuration names under cert, key and ca. It returns nil if the
// configuration sets plaintext, for which all addresses must be loopback addresses, and if a setting is invalid.
// Invalid settings are reported to f with their lines.
func KeysFromConfig(f *tomlfile.File, files Files, isPlaintext bool, addresses []netip.AddrPort) *Keys {
	if isPlaintext {
		checkPlaintext(f, files, addresses)
		return nil
	}
	for _, file := range []struct {
		key  string
		path string
	}{
		{"cert", files.Cert},
		{"key", files.Key},
		{"ca", files.CA},
	} {
		if file.path == "" {
			f.AddFault(file.key, "%s not set: expected cert, key and ca, or plaintext = true on loopback addresses", file.key)
			return nil
		}
	}
	keys, err := LoadKeys(files)
	if err != nil {
		f.AddFault("cert", "%v", err)
		return nil
	}
	return keys
}

func checkPlaintext(f *tomlfile.File, files Files, addresses []netip.AddrPort) {
	for _, address := range addresses {
		if err := CheckLoopback(address); address.IsValid() && err != nil {
			f.AddFault("plaintext", "%s: %v", address, err)
		}
	}
	if files != (Files{}) {
		f.AddFault("plaintext", "plaintext excludes cert, key and ca")
	}
}
