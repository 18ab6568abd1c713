package medlarstandcmd

import (
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlaravailability"
)

func availabilityCommand() *cobra.Command {
	s := medlaravailability.Settings{LastEvent: "id: 8"}
	var dir string
	cmd := &cobra.Command{
		Use:   "availability",
		Short: "Send requests at a constant rate to attached instances and print over time which are served",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if s.Instances, err = readInstances(dir); err != nil {
				return err
			}
			medlaravailability.Run(s, cmd.OutOrStdout())
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&dir, "settings", "", "directory of the settings files of the instances, as platform --settings writes it")
	flags.Float64Var(&s.Rate, "rate", 200, "requests a second")
	flags.DurationVar(&s.Duration, "time", 20*time.Second, "duration of the load; no request starts after it")
	flags.IntVar(&s.Parts, "parts", 16, "number of different shared parts of prompts")
	flags.BoolVar(&s.SameBody, "same-body", false, "send prompts that differ in their parts only")
	flags.Uint64Var(&s.Seed, "seed", 1, "seed of the choice of instances and parts")
	return cmd
}

// readInstances reads the instances from the settings files in a directory.
func readInstances(dir string) ([]medlaravailability.Instance, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var out []medlaravailability.Instance
	for _, file := range files {
		cfg, err := medlarsettings.ReadAttached(file)
		if err != nil {
			return nil, err
		}
		out = append(out, medlaravailability.Instance{Name: cfg.Name, Address: cfg.Listen, Status: cfg.Status})
	}
	return out, nil
}
