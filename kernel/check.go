package kernel

import (
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

// Nested is implemented by modules whose settings name further plug-ins. Plugins
// returns them by namespace, for Check to check them as well.
type Nested interface {
	Plugins() map[string][]settings.Plugin
}

// Check decodes and validates all settings. It binds no address, opens no file and
// starts no module.
func Check(doc *settings.Document) error {
	s := DefaultSettings()
	if err := doc.Decode(&s); err != nil {
		return err
	}
	if err := checkSettings(doc.Name, s); err != nil {
		return err
	}
	for _, p := range s.Roles {
		if err := checkPlugin(doc.Name, "role", p); err != nil {
			return err
		}
	}
	return nil
}

// checkPlugin checks the settings of a plug-in and of those that it names.
func checkPlugin(file, namespace string, p settings.Plugin) error {
	p.SetFile(file)
	m, err := decodeModule(namespace, p)
	if err != nil {
		return err
	}
	n, ok := m.(Nested)
	if !ok {
		return nil
	}
	for ns, list := range n.Plugins() {
		for _, q := range list {
			if q.Empty() {
				continue
			}
			if err := checkPlugin(file, ns, q); err != nil {
				return err
			}
		}
	}
	return nil
}

// decodeModule creates the module that a setting names, and decodes and validates
// its settings.
func decodeModule(namespace string, p settings.Plugin) (any, error) {
	m, ok := NewModule(namespace, p.Name)
	if !ok {
		return nil, p.Unknown(namespace, Names(namespace))
	}
	if err := p.Decode(m); err != nil {
		return nil, err
	}
	if v, ok := m.(Validator); ok {
		if err := v.Validate(); err != nil {
			return nil, withPosition(p, err)
		}
	}
	return m, nil
}

// checkSettings checks the settings that belong to the kernel.
func checkSettings(file string, s Settings) error {
	switch {
	case s.Instance.ID == "":
		return result.New(result.SettingInvalid, "%s: instance.id: must be set", file)
	case s.Instance.Zone == "":
		return result.New(result.SettingInvalid, "%s: instance.zone: must be set", file)
	case s.Stop.Limit <= 0:
		return result.New(result.SettingInvalid, "%s: stop.limit: must be longer than 0", file)
	case len(s.Roles) == 0:
		return result.New(result.SettingInvalid, "%s: roles: must name at least one role", file)
	}
	return nil
}
